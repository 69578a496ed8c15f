#include <mintknot/policy/row_expiry.hpp>

#include <mintknot/policy/staleness_bounds.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Lapsed rows are back within two seconds of the store's return, by the users'
/// description; less a margin.
constexpr base::milliseconds max_recovery_time{1600};
/// By how much the time must stay below the drain bound.
constexpr base::milliseconds drain_margin{400};
/// Removals from which on a quarter of all servers is no departure.
constexpr std::size_t min_mass_removals = 3;
constexpr std::size_t mass_removal_divisor = 4;

} // namespace

base::milliseconds row_recovery_time(base::milliseconds drain_bound) {
    return std::clamp(
        drain_bound - drain_margin, removal_batch_time, max_recovery_time);
}

base::steady_time removal_hold_deadline(
    std::optional<base::steady_time> seen, base::milliseconds drain_bound,
    base::steady_time now) {
    if (!seen || now - *seen >= drain_bound)
        return base::steady_time::max();
    return *seen + drain_bound - request_travel_time;
}

bool is_mass_removal(std::size_t removed, std::size_t known) {
    return removed >= std::max(min_mass_removals, known / mass_removal_divisor);
}

} // namespace mintknot::policy
