#include <mintknot/policy/row_expiry.hpp>

#include <mintknot/policy/staleness_bounds.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Expired rows return within two seconds after the store is available again,
/// according to the users' specification; less a margin.
constexpr base::milliseconds max_recovery_time{1600};
/// Minimum difference between the recovery time and the drain bound.
constexpr base::milliseconds drain_margin{400};
/// Minimum number of removals for a mass removal.
constexpr std::size_t min_mass_removals = 3;
/// Divisor: a mass removal affects at least a quarter of the servers.
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
