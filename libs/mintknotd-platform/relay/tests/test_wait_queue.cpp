#include <mintknot/relay/wait_queue.hpp>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace mintknot;
using namespace mintknot::relay;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

/// A wait queue that records the order in which requests are woken.
struct recording_queue {
    std::unique_ptr<wait_queue::ticket> join(
        const std::string& name, const policy::queue_rank& rank,
        double tokens = 10.0) {
        return queue.join("llm", rank, tokens, [this, name] {
            order.push_back(name);
            if (order.size() == expected)
                loop.stop();
        });
    }
    void run_until_woken(std::size_t count) {
        expected = count;
        loop.run();
    }

    event::loop loop;
    wait_queue queue{loop};
    std::vector<std::string> order;
    std::size_t expected = 0;
};

using names = std::vector<std::string>;

} // namespace

Test(wait_queue, requests_that_can_meet_their_target_are_woken_first) {
    recording_queue recorder;
    const auto late = recorder.join("late", {true, 0, start});
    const auto second =
        recorder.join("second", {false, 1, start + std::chrono::seconds(2)});
    const auto first =
        recorder.join("first", {false, 1, start + std::chrono::seconds(1)});
    const auto urgent =
        recorder.join("urgent", {false, 0, start + std::chrono::seconds(3)});
    recorder.queue.notify_capacity_freed();
    recorder.run_until_woken(4);
    cr_assert(recorder.order == names({"urgent", "first", "second", "late"}));
}

Test(wait_queue, request_that_leaves_is_not_woken) {
    recording_queue recorder;
    auto gone = recorder.join("gone", {false, 0, start});
    const auto stays = recorder.join("stays", {false, 1, start});
    gone.reset();
    recorder.run_until_woken(1);
    cr_assert(recorder.order == names({"stays"}));
}

Test(wait_queue, woken_request_may_remove_another) {
    recording_queue recorder;
    std::unique_ptr<wait_queue::ticket> ended =
        recorder.join("ended", {false, 2, start});
    const auto first = recorder.queue.join("llm", {false, 0, start}, 1.0, [&] {
        ended.reset();
        recorder.order.push_back("first");
    });
    const auto last = recorder.join("last", {false, 3, start});
    recorder.run_until_woken(2);
    cr_assert(recorder.order == names({"first", "last"}));
}

Test(wait_queue, requests_are_woken_without_a_capacity_notification) {
    recording_queue recorder;
    const auto only = recorder.join("only", {false, 0, start});
    recorder.run_until_woken(1);
    cr_assert(recorder.order == names({"only"}));
}

Test(wait_queue, counts_the_tokens_of_requests_with_a_better_rank) {
    recording_queue recorder;
    const auto first = recorder.join("first", {false, 0, start}, 300.0);
    const auto late = recorder.join("late", {true, 0, start}, 500.0);
    const policy::queue_rank next{false, 0, start + std::chrono::seconds(1)};
    cr_assert(recorder.queue.tokens_ahead("llm", next) == 300.0);
    cr_assert(recorder.queue.tokens_ahead("other", next) == 0.0);
    cr_assert(recorder.queue.waiting_tokens().at("llm") == 800.0);
}
