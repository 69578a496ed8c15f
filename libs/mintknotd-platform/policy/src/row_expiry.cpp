#include <mintknot/policy/row_expiry.hpp>

#include <mintknot/policy/news_age.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Lapsed rows are back within two seconds of the store's return, by the users'
/// description; less a margin.
constexpr base::milliseconds max_return_time{1600};
/// By how much the time must stay below the drain bound.
constexpr base::milliseconds drain_margin{400};
/// Removals from which on a quarter of all servers is no departure.
constexpr std::size_t min_mass = 3;
constexpr std::size_t mass_part = 4;

} // namespace

base::milliseconds row_return_time(base::milliseconds drain_bound) {
    return std::clamp(
        drain_bound - drain_margin, removal_gather_time, max_return_time);
}

base::steady_time removal_limit(
    std::optional<base::steady_time> seen, base::milliseconds drain_bound,
    base::steady_time now) {
    if (!seen || now - *seen >= drain_bound)
        return base::steady_time::max();
    return *seen + drain_bound - request_way;
}

bool is_mass_removal(std::size_t removed, std::size_t known) {
    return removed >= std::max(min_mass, known / mass_part);
}

} // namespace mintknot::policy
