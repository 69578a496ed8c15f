#include <mintknot/policy/staleness_bounds.hpp>

#include <criterion/criterion.h>

using namespace mintknot::policy;
using std::chrono::milliseconds;

Test(staleness_bounds, a_bound_too_short_to_meet_causes_no_busy_loop) {
    const staleness_bounds parts = staleness_bounds_for(milliseconds{1});
    cr_assert(parts.relayed_watch >= milliseconds{100});
    cr_assert(parts.retry_pause >= milliseconds{60});
}

Test(staleness_bounds, the_steps_of_propagation_stay_within_the_bound) {
    // Duration of a call to the store in addition to its watch time.
    constexpr milliseconds call_slack{900};
    for (const milliseconds bound : {milliseconds{2000}, milliseconds{5000}}) {
        const staleness_bounds parts = staleness_bounds_for(bound);
        cr_assert(parts.unfollowed_watch + call_slack <= bound);
        const milliseconds longest_pause = parts.retry_pause * 3 / 2;
        cr_assert(parts.max_age + longest_pause + request_travel_time <= bound);
        cr_assert(2 * parts.relayed_watch < parts.max_age);
        cr_assert(
            parts.max_age + named_server_lifetime(bound) +
                request_travel_time <=
            bound);
    }
}
