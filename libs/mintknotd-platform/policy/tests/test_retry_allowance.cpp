#include <mintknot/policy/retry_allowance.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
const retry_bounds bounds{0.2, 50.0, base::milliseconds(10000)};
const fleet_usage alone;

/// Spends retries until none is left, by default for an instance that has been
/// running for long.
int spend_all(
    retry_allowance& allowance, std::size_t instances, const fleet_usage& fleet,
    base::steady_time now, base::steady_time started = {}) {
    int count = 0;
    while (count < 1000 &&
           spend_retry(allowance, bounds, {instances, fleet, started}, now))
        ++count;
    return count;
}

} // namespace

Test(retry_allowance, the_shares_of_all_instances_stay_within_extra) {
    // Worst case: all instances always spend as much as they can.
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

Test(retry_allowance, requests_earn_retries) {
    retry_allowance allowance;
    spend_all(allowance, 10, alone, start);
    for (int i = 0; i < 10; ++i)
        earn_retries(allowance, bounds, start);
    cr_assert(spend_all(allowance, 10, alone, start) == 2);
}

Test(retry_allowance, unused_retries_of_peers_may_be_spent) {
    retry_allowance allowance;
    const fleet_usage idle{{100, 0}, 9};
    const int spent = spend_all(allowance, 10, idle, start);
    // The whole bound is 50 + 0.2 * 100.
    cr_assert(spent > 30, "spent %d", spent);
    cr_assert(spent <= 50, "spent %d", spent);
}

Test(retry_allowance, stops_when_the_group_has_spent_nearly_all) {
    retry_allowance allowance;
    const fleet_usage busy{{100, 62}, 9};
    cr_assert(spend_all(allowance, 10, busy, start) == 0);
}

Test(retry_allowance, a_restarted_instance_spends_only_what_it_earns) {
    // Before its restart it may have spent everything in the same window.
    const fleet_usage idle{{100, 0}, 9};
    retry_allowance allowance;
    cr_assert(spend_all(allowance, 10, idle, start, start) == 0);
    for (int i = 0; i < 11; ++i)
        earn_retries(allowance, bounds, start);
    cr_assert(spend_all(allowance, 10, idle, start, start) == 2);
    const auto soon = start + std::chrono::seconds(9);
    cr_assert(spend_all(allowance, 10, idle, soon, start) <= 2);
    const auto later = start + std::chrono::seconds(21);
    cr_assert(spend_all(allowance, 10, idle, later, start) > 30);
}

Test(retry_allowance, both_sides_of_a_partition_stay_within_the_bound) {
    // Six instances hear each other, and so do the other three of nine.
    int spent = 0;
    for (const std::size_t side : {6, 3}) {
        retry_usage used;
        for (std::size_t i = 0; i < side; ++i) {
            retry_allowance allowance;
            const fleet_usage heard{used, side - 1};
            used.retries += spend_all(allowance, 9, heard, start);
        }
        spent += static_cast<int>(used.retries);
    }
    cr_assert(spent <= 50, "spent %d", spent);
}

Test(retry_allowance, usage_leaves_the_sliding_window) {
    retry_allowance allowance;
    earn_retries(allowance, bounds, start);
    cr_assert(spend_retry(allowance, bounds, {10, alone}, start));
    cr_assert(usage(allowance, bounds, start).requests == 1);
    cr_assert(usage(allowance, bounds, start).retries == 1);
    const retry_usage later =
        usage(allowance, bounds, start + std::chrono::seconds(11));
    cr_assert(later.requests == 0);
    cr_assert(later.retries == 0);
}

Test(retry_allowance, a_changed_window_length_resets_the_counts) {
    retry_allowance allowance;
    earn_retries(allowance, bounds, start);
    cr_assert(spend_retry(allowance, bounds, {10, alone}, start));
    const retry_bounds longer{0.2, 50.0, base::milliseconds(30000)};
    cr_assert(usage(allowance, longer, start).requests == 0);
    earn_retries(allowance, longer, start);
    cr_assert(usage(allowance, longer, start).requests == 1);
    const auto later = start + std::chrono::seconds(35);
    cr_assert(usage(allowance, longer, later).requests == 0);
}
