#include <mintknot/policy/admission.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

using base::milliseconds;

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
constexpr milliseconds to_first_event{250};

unplaced_request fresh(milliseconds waited = milliseconds{0}) {
    unplaced_request request;
    request.waited = waited;
    request.target = milliseconds(900);
    request.time_left = milliseconds(14000) - waited;
    return request;
}

} // namespace

Test(admission, a_request_waits_where_it_is_expected_in_time) {
    cr_assert(should_wait(fresh(), milliseconds(600), to_first_event));
    cr_assert(!should_wait(fresh(), milliseconds(700), to_first_event));
    // What it has waited counts.
    cr_assert(!should_wait(
        fresh(milliseconds(100)), milliseconds(600), to_first_event));
}

Test(admission, what_is_not_foreseen_is_refused_at_once) {
    cr_assert(!should_wait(fresh(), std::nullopt, to_first_event));
}

Test(admission, a_prompt_that_was_read_is_worth_a_late_answer) {
    unplaced_request begun = fresh(milliseconds(800));
    begun.begun = true;
    cr_assert(should_wait(begun, milliseconds(2000), to_first_event));
    cr_assert(!can_meet_target(begun, milliseconds(2000), to_first_event));
    cr_assert(!should_wait(begun, milliseconds(13000), to_first_event));
}

Test(admission, a_shorter_deadline_shows_that_a_caller_came_back) {
    longest_deadline longest;
    note_deadline(longest, milliseconds(14000), start);
    note_deadline(longest, milliseconds(11000), start);
    cr_assert(!has_returned(longest, milliseconds(14000)));
    cr_assert(!has_returned(longest, milliseconds(13990)));
    cr_assert(has_returned(longest, milliseconds(13500)));
    cr_assert(!has_returned(longest, std::nullopt));
    // Callers may have changed their minds: an old figure is forgotten.
    note_deadline(longest, milliseconds(9000), start + std::chrono::minutes(1));
    cr_assert(!has_returned(longest, milliseconds(9000)));
}

Test(admission, callers_wait_for_a_first_event_by_target_and_pause) {
    using namespace std::chrono_literals;
    cr_assert(first_event_patience(100ms, 100ms) == 2000ms);
    cr_assert(first_event_patience(900ms, 300ms) == 3600ms);
    cr_assert(first_event_patience(300ms, 600ms) == 4800ms);
}
