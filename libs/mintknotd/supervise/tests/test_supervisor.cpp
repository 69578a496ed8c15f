#include <mintknot/supervise/supervisor.hpp>

#include <criterion/criterion.h>

#include <latch>
#include <stdexcept>
#include <thread>

using namespace mintknot;
using namespace mintknot::supervise;

namespace {

const restart_policy quick{
    .first_backoff = base::milliseconds{1},
    .longest_backoff = base::milliseconds{2},
    .most_restarts = 3};

void wait_for_stop(const std::stop_token& stop) {
    while (!stop.stop_requested())
        std::this_thread::yield();
}

} // namespace

Test(supervisor, restarts_a_child_that_throws) {
    supervisor group("test", quick);
    std::latch third_run(3);
    group.add({"child", [&](const std::stop_token& stop, pulse&) {
                   if (third_run.try_wait())
                       return wait_for_stop(stop);
                   third_run.count_down();
                   if (third_run.try_wait())
                       return wait_for_stop(stop);
                   throw std::runtime_error("on purpose");
               }});
    pulse beat;
    std::jthread runner(
        [&](const std::stop_token& stop) { group.run(stop, beat); });
    third_run.wait();
    const auto status = group.status().at(0);
    runner.request_stop();
    runner.join();
    cr_assert_eq(status.restarts, 2U);
    cr_assert(status.last_error == "on purpose");
}

Test(supervisor, gives_up_and_tells_its_parent) {
    supervisor group("test", quick);
    // A sibling that has not begun when the child is given up never does.
    std::latch sibling_begun(1);
    group.add({"child", [&](const std::stop_token&, pulse&) {
                   sibling_begun.wait();
                   throw std::runtime_error("always");
               }});
    bool stopped_sibling = false;
    group.add({"sibling", [&](const std::stop_token& stop, pulse&) {
                   sibling_begun.count_down();
                   wait_for_stop(stop);
                   stopped_sibling = true;
               }});
    pulse beat;
    std::stop_source never;
    cr_assert_throw(group.run(never.get_token(), beat), std::runtime_error);
    cr_assert(stopped_sibling);
    cr_assert(group.status().at(0).state == child_state::given_up);
}

Test(supervisor, a_silent_child_counts_as_hung) {
    supervisor group("test", quick);
    std::latch started(1);
    group.add(
        {"child",
         [&](const std::stop_token& stop, pulse&) {
             started.count_down();
             wait_for_stop(stop);
         },
         base::milliseconds{1}});
    pulse beat;
    std::jthread runner(
        [&](const std::stop_token& stop) { group.run(stop, beat); });
    started.wait();
    while (group.status().at(0).state != child_state::hung)
        std::this_thread::yield();
    runner.request_stop();
}
