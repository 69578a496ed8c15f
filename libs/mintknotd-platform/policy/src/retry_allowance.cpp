#include <mintknot/policy/retry_allowance.hpp>

#include <mintknot/policy/group.hpp>
#include <mintknot/policy/retry_quota.hpp>
#include <mintknot/policy/usage_window.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Fraction of `extra` that is handed out as own shares; the rest is a margin
/// for instances that are not known yet.
constexpr double extra_fraction = 0.9;
/// Fraction of the own share that can be saved; the rest is refilled within a
/// window. Their sum is the whole share, so that no window exceeds it.
constexpr double saved_fraction = 0.5;
/// Maximum number of saved retries earned by requests: those of about twenty.
constexpr double max_earned = 4.0;
/// Fraction of the group's bound up to which an instance spends beyond its own
/// share. The rest covers retries that peers have not reported yet.
constexpr double common_fraction = 0.5;
/// Fraction of the group's bound above which not even the own share is spent.
constexpr double stop_fraction = 0.75;

/// Time after its start in which an instance gets no share of `extra`, as it
/// does not know the group size yet: it assumes ten instances, so that 295
/// instances starting at once would each take a tenth.
constexpr base::milliseconds group_discovery_time{2000};

void refill(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    const double share =
        bounds.extra * extra_fraction /
        static_cast<double>(std::max<std::size_t>(terms.instances, 1));
    const base::steady_time since =
        std::max(allowance.refilled, terms.started + group_discovery_time);
    if (now <= since)
        return;
    const double passed = std::chrono::duration<double>(now - since) /
                          std::chrono::duration<double>(bounds.window);
    allowance.from_extra = std::min(
        allowance.from_extra + share * (1.0 - saved_fraction) * passed,
        share * saved_fraction);
    allowance.refilled = now;
}

/// @return the number of retries of the whole group up to which an instance may
/// spend beyond its own share.
double common_retries(
    const retry_bounds& bounds, const spend_terms& terms, double group_bound,
    base::steady_time now) {
    if (terms.fleet.heard == 0 || now - terms.started < bounds.window)
        return 0.0;
    const double heard_share =
        static_cast<double>(terms.fleet.heard + 1) /
        static_cast<double>(std::max<std::size_t>(terms.instances, 1));
    return group_bound * common_fraction * std::min(1.0, heard_share);
}

bool take_own_share(retry_allowance& allowance) {
    if (allowance.earned >= 1.0) {
        allowance.earned -= 1.0;
        return true;
    }
    if (allowance.earned + allowance.from_extra < 1.0)
        return false;
    allowance.from_extra -= 1.0 - allowance.earned;
    allowance.earned = 0.0;
    return true;
}

} // namespace

void earn_retries(
    retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now) {
    allowance.earned = std::min(max_earned, allowance.earned + bounds.ratio);
    ++current_counts(allowance.used, bounds, now).requests;
}

bool spend_retry(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    if (is_large_group(terms.instances))
        return spend_quota(allowance, bounds, terms, now);
    refill(allowance, bounds, terms, now);
    const retry_usage own = usage(allowance, bounds, now);
    const retry_usage& of_peers = terms.fleet.peers;
    const auto retries = static_cast<double>(own.retries + of_peers.retries);
    const double group_bound =
        bounds.extra +
        bounds.ratio * static_cast<double>(own.requests + of_peers.requests);
    if (terms.fleet.heard > 0 && retries >= group_bound * stop_fraction)
        return false;
    const bool common_left =
        retries < common_retries(bounds, terms, group_bound, now);
    if (!take_own_share(allowance) && !common_left)
        return false;
    ++current_counts(allowance.used, bounds, now).retries;
    return true;
}

retry_usage usage(
    const retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now) {
    return sums(allowance.used, bounds, now).complete_steps;
}

} // namespace mintknot::policy
