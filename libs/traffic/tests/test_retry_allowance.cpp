#include <mintknot/traffic/retry_allowance.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::traffic;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
const retry_bounds bounds{0.2, 50.0, base::milliseconds(10000)};
const fleet_usage alone;

int spend_all(
    retry_allowance& allowance, std::size_t instances, const fleet_usage& fleet,
    base::steady_time now) {
    int count = 0;
    while (count < 1000 && spend(allowance, bounds, instances, fleet, now))
        ++count;
    return count;
}

} // namespace

Test(retry_allowance, parts_of_all_instances_stay_within_the_extra) {
    // The worst case: everybody spends whatever there is, all the time.
    constexpr int instances = 10;
    int spent = 0;
    for (int i = 0; i < instances; ++i) {
        retry_allowance allowance;
        for (int tenth = 0; tenth <= 100; ++tenth)
            spent += spend_all(
                allowance, instances, alone,
                start + base::milliseconds(100) * tenth);
    }
    cr_assert(spent <= 50, "spent %d", spent);
}

Test(retry_allowance, requests_earn_repeats) {
    retry_allowance allowance;
    spend_all(allowance, 10, alone, start);
    for (int i = 0; i < 10; ++i)
        earn(allowance, bounds, start);
    cr_assert(spend_all(allowance, 10, alone, start) == 2);
}

Test(retry_allowance, what_peers_leave_may_be_spent) {
    retry_allowance allowance;
    const fleet_usage idle{{100, 0}, 9};
    const int spent = spend_all(allowance, 10, idle, start);
    // The whole bound is 50 + 0.2 * 100.
    cr_assert(spent > 30, "spent %d", spent);
    cr_assert(spent <= 50, "spent %d", spent);
}

Test(retry_allowance, stops_when_the_fleet_has_spent_nearly_all) {
    retry_allowance allowance;
    const fleet_usage busy{{100, 62}, 9};
    cr_assert(spend_all(allowance, 10, busy, start) == 0);
}

Test(retry_allowance, usage_slides) {
    retry_allowance allowance;
    earn(allowance, bounds, start);
    cr_assert(spend(allowance, bounds, 10, alone, start));
    cr_assert(usage(allowance, bounds, start).requests == 1);
    cr_assert(usage(allowance, bounds, start).repeats == 1);
    const retry_usage later =
        usage(allowance, bounds, start + std::chrono::seconds(11));
    cr_assert(later.requests == 0);
    cr_assert(later.repeats == 0);
}
