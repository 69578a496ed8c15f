#include <mintknot/policy/timeouts.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

Test(timeouts, prefill_timeout_is_multiple_of_expected_time) {
    cr_assert(prefill_timeout(milliseconds{200}) == milliseconds{600});
    cr_assert(prefill_timeout(milliseconds{10}) == milliseconds{250});
}

Test(timeouts, first_event_timeout_is_longer) {
    cr_assert(event_timeout(false) > event_timeout(true));
}

Test(timeouts, plain_timeout_leaves_time_for_retry) {
    traffic::route route;
    route.target_latency = milliseconds{200};
    route.timeout = milliseconds{10000};
    cr_assert(plain_timeout(route) == milliseconds{600});
    route.timeout = milliseconds{900};
    cr_assert(plain_timeout(route) == milliseconds{450});
    route.timeout = milliseconds{100};
    cr_assert(plain_timeout(route) == milliseconds{300});
}

Test(timeouts, hand_over_window_is_shorter_than_result_lifetime) {
    cr_assert(hand_over_window(milliseconds{500}) < milliseconds{500});
}
