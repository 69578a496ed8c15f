#include <mintknot/policy/server_liveness.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time start{std::chrono::hours(1)};
/// A suspension of 1.2 s.
const interruption suspension{start, start + milliseconds(1200)};

} // namespace

Test(server_liveness, a_server_that_answers_others_was_up) {
    const base::steady_time sent = start + milliseconds(5000);
    cr_assert(
        liveness_when_sent(
            {sent, sent + milliseconds(10), sent - milliseconds(100)}, {}) ==
        server_liveness::heard);
    cr_assert(
        liveness_when_sent({sent, sent + milliseconds(10), {}}, {}) ==
        server_liveness::assumed);
}

// Guards against blame for the end of servers that ended during a suspension.
Test(server_liveness, after_a_suspension_silent_servers_may_have_ended) {
    const base::steady_time sent = suspension.ended + milliseconds(20);
    const base::steady_time heard = start - milliseconds(50);
    for (const auto& before :
         {std::optional<base::steady_time>(heard),
          std::optional<base::steady_time>()})
        cr_assert(
            liveness_when_sent(
                {sent, sent + milliseconds(12), before}, {suspension}) ==
            server_liveness::doubtful);
    const base::steady_time later = suspension.ended + row_lapse_time;
    cr_assert(
        liveness_when_sent(
            {later, later + milliseconds(12), {}}, {suspension}) ==
        server_liveness::assumed);
}

// Guards against answers of before a server's end that are read after it.
Test(server_liveness, what_waited_during_a_suspension_says_nothing) {
    const base::steady_time sent = suspension.ended + milliseconds(20);
    cr_assert(
        liveness_when_sent(
            {sent, sent + milliseconds(12), sent - milliseconds(10)},
            {suspension}) == server_liveness::doubtful);
    const base::steady_time later = suspension.ended + milliseconds(400);
    cr_assert(
        liveness_when_sent(
            {later, later + milliseconds(12), later - milliseconds(10)},
            {suspension}) == server_liveness::heard);
}

Test(server_liveness, a_call_that_broke_before_a_suspension_is_not_affected) {
    const base::steady_time sent = start - milliseconds(100);
    cr_assert(
        liveness_when_sent(
            {sent, sent + milliseconds(12), sent - milliseconds(10)},
            {suspension}) == server_liveness::heard);
}

Test(server_liveness, a_call_that_broke_in_a_suspension_is_doubtful) {
    const base::steady_time sent = start - milliseconds(100);
    cr_assert(
        liveness_when_sent(
            {sent, suspension.ended, sent - milliseconds(10)}, {suspension}) ==
        server_liveness::doubtful);
}

Test(server_liveness, old_interruptions_are_forgotten) {
    std::vector<interruption> recent;
    for (int i = 0; i < 100; ++i) {
        const base::steady_time began = start + i * std::chrono::seconds(30);
        note_interruption(recent, {began, began + milliseconds(300)});
    }
    cr_assert(recent.size() == 1);
}
