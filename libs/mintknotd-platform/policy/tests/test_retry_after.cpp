#include <mintknot/policy/retry_after.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

/// A request of 4,000 tokens while 50 tokens are released per millisecond.
retry_after_inputs terms(milliseconds wait) {
    return {{wait, 50.0}, wait, 4000.0, 10};
}

} // namespace

Test(retry_after, outage_is_expected_to_double) {
    cr_assert(outage_retry_after(milliseconds{4000}) == milliseconds{4000});
    cr_assert(outage_retry_after(milliseconds{0}) == milliseconds{250});
    cr_assert(outage_retry_after(std::chrono::hours{1}) == milliseconds{30000});
}

Test(retry_after, retries_are_ordered_and_spaced_by_release_rate) {
    retry_after_schedule schedule;
    const milliseconds first =
        schedule_retry_after(schedule, terms(milliseconds(800)), start);
    const milliseconds second =
        schedule_retry_after(schedule, terms(milliseconds(800)), start);
    cr_assert(
        first >= milliseconds(800), "not before memory is expected to be free");
    cr_assert(second > first);
    // Ten instances share a fifth of 50 tokens per millisecond.
    cr_assert(second - first == milliseconds(4000));
    // A minute later the schedule has caught up.
    const milliseconds later = schedule_retry_after(
        schedule, terms(milliseconds(0)), start + std::chrono::seconds(60));
    cr_assert(later < milliseconds(5000));
}

Test(retry_after, short_retry_after_without_forecast) {
    retry_after_schedule schedule;
    const retry_after_inputs unknown{{}, std::nullopt, 4000.0, 10};
    const milliseconds retry_after =
        schedule_retry_after(schedule, unknown, start);
    cr_assert(
        retry_after >= milliseconds(200) && retry_after <= milliseconds(500));
}

// Guards against times that callers cannot use: 36 s for a deadline of 14 s
// makes them all return after a third of it, and 3 ms at once.
Test(retry_after, is_bounded_by_what_callers_obey) {
    const milliseconds left(14000);
    cr_assert(
        bounded_retry_after(milliseconds(36000), left) == milliseconds(4666));
    cr_assert(
        bounded_retry_after(milliseconds(900), left) == milliseconds(900));
    cr_assert(bounded_retry_after(milliseconds(3), left) == milliseconds(250));
    cr_assert(
        bounded_retry_after(milliseconds(3), milliseconds(300)) ==
            milliseconds(100),
        "a third is shorter than the least");
    cr_assert(
        bounded_retry_after(milliseconds(900), milliseconds(-5)) ==
        milliseconds(0));
}
