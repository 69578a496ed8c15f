#include <mintknot/policy/return_time.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

/// A request of 4,000 tokens while 50 tokens are set free in a millisecond.
return_terms terms(milliseconds wait) {
    return {{wait, 50.0}, wait, 4000.0, 10};
}

} // namespace

Test(return_time, an_outage_is_expected_to_last_as_long_again) {
    cr_assert(return_after_outage(milliseconds{4000}) == milliseconds{4000});
    cr_assert(return_after_outage(milliseconds{0}) == milliseconds{250});
    cr_assert(
        return_after_outage(std::chrono::hours{1}) == milliseconds{30000});
}

Test(return_time, callers_come_back_in_order_and_no_faster_than_room_comes) {
    return_schedule schedule;
    const milliseconds first =
        schedule_return(schedule, terms(milliseconds(800)), start);
    const milliseconds second =
        schedule_return(schedule, terms(milliseconds(800)), start);
    cr_assert(first >= milliseconds(800), "not before room is expected");
    cr_assert(second > first);
    // Ten instances share a fifth of 50 tokens a millisecond.
    cr_assert(second - first == milliseconds(4000));
    // Later the line is short again.
    const milliseconds later = schedule_return(
        schedule, terms(milliseconds(0)), start + std::chrono::seconds(60));
    cr_assert(later < milliseconds(5000));
}

Test(return_time, without_a_forecast_a_caller_comes_back_soon) {
    return_schedule schedule;
    const return_terms unknown{{}, std::nullopt, 4000.0, 10};
    const milliseconds told = schedule_return(schedule, unknown, start);
    cr_assert(told >= milliseconds(200) && told <= milliseconds(500));
}
