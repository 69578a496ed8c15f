#include <mintknot/policy/row_expiry.hpp>
#include <mintknot/policy/staleness_bounds.hpp>

#include <criterion/criterion.h>

using namespace mintknot::policy;
using std::chrono::milliseconds;

Test(row_expiry, the_recovery_time_is_below_the_drain_bound) {
    cr_assert(row_recovery_time(milliseconds{1200}) == milliseconds{800});
    cr_assert(row_recovery_time(milliseconds{9000}) == milliseconds{1600});
    cr_assert(row_recovery_time(milliseconds{100}) == removal_batch_time);
}

Test(row_expiry, a_removal_is_not_delayed_beyond_the_drain_bound) {
    constexpr milliseconds bound{2000};
    const mintknot::base::steady_time seen{};
    const auto limit =
        removal_hold_deadline(seen, bound, seen + milliseconds{300});
    cr_assert(limit + request_travel_time == seen + bound);
    // If the store was unreachable for longer, the row has more likely expired.
    const auto never = mintknot::base::steady_time::max();
    cr_assert(removal_hold_deadline(seen, bound, seen + bound) == never);
    cr_assert(removal_hold_deadline(std::nullopt, bound, seen) == never);
}

Test(row_expiry, removals_of_a_quarter_of_the_servers_are_no_departures) {
    cr_assert(!is_mass_removal(2, 2));
    cr_assert(is_mass_removal(3, 8));
    cr_assert(!is_mass_removal(4, 20));
    cr_assert(is_mass_removal(5, 20));
}
