#include <mintknot/policy/staleness_bounds.hpp>

#include <criterion/criterion.h>

using namespace mintknot::policy;
using std::chrono::milliseconds;

Test(news_age, a_bound_that_cannot_be_kept_makes_no_busy_loop) {
    const staleness_bounds parts = staleness_bounds_for(milliseconds{1});
    cr_assert(parts.relayed_watch >= milliseconds{100});
    cr_assert(parts.retry_pause >= milliseconds{60});
}

Test(news_age, the_parts_of_the_way_keep_the_bound_together) {
    // What a call to the store may take beyond its wait.
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
