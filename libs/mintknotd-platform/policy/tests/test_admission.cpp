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

Test(admission, request_waits_if_expected_to_meet_target) {
    cr_assert(should_wait(fresh(), milliseconds(600), to_first_event));
    cr_assert(!should_wait(fresh(), milliseconds(700), to_first_event));
    // The time that it has already waited counts.
    cr_assert(!should_wait(
        fresh(milliseconds(100)), milliseconds(600), to_first_event));
}

Test(admission, request_without_forecast_is_refused) {
    cr_assert(!should_wait(fresh(), std::nullopt, to_first_event));
}

Test(admission, started_request_waits_until_its_deadline) {
    unplaced_request begun = fresh(milliseconds(800));
    begun.begun = true;
    cr_assert(should_wait(begun, milliseconds(2000), to_first_event));
    cr_assert(!can_meet_target(begun, milliseconds(2000), to_first_event));
    cr_assert(!should_wait(begun, milliseconds(13000), to_first_event));
}

Test(admission, shorter_deadline_indicates_earlier_refusal) {
    longest_deadline longest;
    note_deadline(longest, milliseconds(14000), start);
    note_deadline(longest, milliseconds(11000), start);
    cr_assert(!was_refused_before(longest, milliseconds(14000)));
    cr_assert(!was_refused_before(longest, milliseconds(13990)));
    cr_assert(was_refused_before(longest, milliseconds(13500)));
    cr_assert(!was_refused_before(longest, std::nullopt));
    // Callers may use shorter deadlines by now: an old value expires.
    note_deadline(longest, milliseconds(9000), start + std::chrono::minutes(1));
    cr_assert(!was_refused_before(longest, milliseconds(9000)));
}

Test(admission, caller_timeout_depends_on_target_and_gap) {
    using namespace std::chrono_literals;
    cr_assert(caller_first_event_timeout(100ms, 100ms) == 2000ms);
    cr_assert(caller_first_event_timeout(900ms, 300ms) == 3600ms);
    cr_assert(caller_first_event_timeout(300ms, 600ms) == 4800ms);
}
