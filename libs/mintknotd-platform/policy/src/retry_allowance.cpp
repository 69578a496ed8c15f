#include <mintknot/policy/retry_allowance.hpp>

#include <mintknot/policy/group.hpp>
#include <mintknot/policy/repeat_rights.hpp>
#include <mintknot/policy/usage_steps.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Part of the extra that is given out as own parts; the rest is a margin for
/// instances that are not heard of yet.
constexpr double used_share = 0.9;
/// Half of an instance's part may be saved up, half comes within a window: in
/// no window can more than the whole part be spent. Derived.
constexpr double saved_share = 0.5;
/// Most repeats that are saved up from requests: those of some twenty.
constexpr double max_earned = 4.0;
/// Share of the whole bound up to which an instance spends beyond its part. The
/// rest is for what others spend before they have told of it.
constexpr double common_share = 0.5;
/// Share of the whole bound above which not even the own part is spent.
constexpr double stop_share = 0.75;

/// After its start an instance earns nothing of the extra until it has heard
/// whether the group is large: it begins with the part of ten, which 295 that
/// start at once would all have.
constexpr base::milliseconds hearing_time{2000};

void refill(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    const double part =
        bounds.extra * used_share /
        static_cast<double>(std::max<std::size_t>(terms.instances, 1));
    const base::steady_time since =
        std::max(allowance.refilled, terms.started + hearing_time);
    if (now <= since)
        return;
    const double passed = std::chrono::duration<double>(now - since) /
                          std::chrono::duration<double>(bounds.window);
    allowance.shared = std::min(
        allowance.shared + part * (1.0 - saved_share) * passed,
        part * saved_share);
    allowance.refilled = now;
}

/// @return how many repeats of all instances are left for an instance that has
/// used up its own part.
double common_repeats(
    const retry_bounds& bounds, const spend_terms& terms, double whole,
    base::steady_time now) {
    if (terms.fleet.heard == 0 || now - terms.started < bounds.window)
        return 0.0;
    const double heard_share =
        static_cast<double>(terms.fleet.heard + 1) /
        static_cast<double>(std::max<std::size_t>(terms.instances, 1));
    return whole * common_share * std::min(1.0, heard_share);
}

bool take_own_part(retry_allowance& allowance) {
    if (allowance.earned >= 1.0) {
        allowance.earned -= 1.0;
        return true;
    }
    if (allowance.earned + allowance.shared < 1.0)
        return false;
    allowance.shared -= 1.0 - allowance.earned;
    allowance.earned = 0.0;
    return true;
}

} // namespace

void earn(
    retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now) {
    allowance.earned = std::min(max_earned, allowance.earned + bounds.ratio);
    ++newest(allowance.used, bounds, now).requests;
}

bool spend(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    if (is_large_group(terms.instances))
        return spend_right(allowance, bounds, terms, now);
    refill(allowance, bounds, terms, now);
    const retry_usage mine = usage(allowance, bounds, now);
    const retry_usage& theirs = terms.fleet.peers;
    const auto repeats = static_cast<double>(mine.repeats + theirs.repeats);
    const double whole =
        bounds.extra +
        bounds.ratio * static_cast<double>(mine.requests + theirs.requests);
    if (terms.fleet.heard > 0 && repeats >= whole * stop_share)
        return false;
    const bool common_left =
        repeats < common_repeats(bounds, terms, whole, now);
    if (!take_own_part(allowance) && !common_left)
        return false;
    ++newest(allowance.used, bounds, now).repeats;
    return true;
}

retry_usage usage(
    const retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now) {
    return sums(allowance.used, bounds, now).within;
}

} // namespace mintknot::policy
