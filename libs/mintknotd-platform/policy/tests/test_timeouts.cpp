#include <mintknot/policy/timeouts.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

Test(timeouts, a_prefill_gets_some_times_what_is_expected) {
    cr_assert(prefill_timeout(milliseconds{200}) == milliseconds{600});
    cr_assert(prefill_timeout(milliseconds{10}) == milliseconds{250});
}

Test(timeouts, the_first_event_may_take_longer) {
    cr_assert(event_timeout(false) > event_timeout(true));
}

Test(timeouts, a_plain_server_leaves_time_for_another_one) {
    traffic::route route;
    route.target_latency = milliseconds{200};
    route.timeout = milliseconds{10000};
    cr_assert(plain_timeout(route) == milliseconds{600});
    route.timeout = milliseconds{900};
    cr_assert(plain_timeout(route) == milliseconds{450});
    route.timeout = milliseconds{100};
    cr_assert(plain_timeout(route) == milliseconds{300});
}

Test(timeouts, a_result_is_not_handed_over_at_its_last_moment) {
    cr_assert(usable_life(milliseconds{500}) < milliseconds{500});
}
