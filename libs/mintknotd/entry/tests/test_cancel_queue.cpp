#include "scripted_engines.hpp"

#include <mintknot/entry/cancel_queue.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace mintknot;
using namespace mintknot::entry;

namespace {

/// A queue that runs, over engines whose cancels fail at first.
struct running_queue {
    explicit running_queue(int failures)
        : queue(
              engines,
              [this](const std::string&) -> std::optional<std::uint64_t> {
                  if (gone)
                      return std::nullopt;
                  return incarnation.load();
              })
        , thread(
              [this](const std::stop_token& stop) { queue.run(stop, [] {}); }) {
        engines.failing_cancels = failures;
    }
    void wait_until_empty() const {
        while (queue.size() > 0)
            std::this_thread::yield();
    }

    tests::scripted_engines engines;
    std::atomic<std::uint64_t> incarnation{5};
    std::atomic<bool> gone{false};
    cancel_queue queue;
    std::jthread thread;
};

} // namespace

Test(cancel_queue, tries_until_the_engine_confirms) {
    running_queue running(2);
    running.queue.add({"e1", {"127.0.0.1", 1}, "a"});
    running.queue.add({"e1", {"127.0.0.1", 1}, "b"});
    running.wait_until_empty();
    cr_assert(
        running.engines.confirmed_cancels() ==
        std::vector<std::string>({"a", "b"}));
}

Test(cancel_queue, a_restarted_engine_holds_nothing) {
    running_queue running(1000000);
    running.queue.add({"e1", {"127.0.0.1", 1}, "a"});
    running.incarnation = 6;
    running.wait_until_empty();
    cr_assert(running.engines.confirmed_cancels().empty());
}

Test(cancel_queue, an_engine_that_left_the_configuration_is_given_up) {
    running_queue running(1000000);
    running.queue.add({"e1", {"127.0.0.1", 1}, "a"});
    running.gone = true;
    running.wait_until_empty();
    cr_assert(running.engines.confirmed_cancels().empty());
}
