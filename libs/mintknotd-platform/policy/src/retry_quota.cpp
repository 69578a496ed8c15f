#include <mintknot/policy/retry_quota.hpp>

#include <mintknot/policy/group.hpp>
#include <mintknot/policy/usage_window.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

/// Fraction of the bound that is handed out as quotas. Instances have their
/// peak numbers of requests at different times and spend most then: at 1.0, 58
/// instances with 6 requests per second each used up to 1.06 times the bound in
/// a window (test_retry_quota.cpp), at 0.9 up to 0.96.
constexpr double quota_fraction = 0.9;
/// An instance requests a loan if it has fewer retries left than this: a call
/// rejected by full servers needs up to three.
constexpr int loan_threshold = 3;
/// Divisor: a lender lends half of its remaining quota and keeps the rest for
/// its own callers.
constexpr int lend_divisor = 2;

int sum(const std::vector<retry_loan>& loans) {
    int retries = 0;
    for (const retry_loan& loan : loans)
        retries += loan.retries;
    return retries;
}

void drop_expired(retry_allowance& allowance, base::steady_time now) {
    const auto expired = [now](const retry_loan& loan) {
        return loan.until <= now || loan.retries == 0;
    };
    std::erase_if(allowance.borrowed, expired);
    std::erase_if(allowance.lent, expired);
}

/// @return this instance's share of `extra`.
double extra_share(
    const retry_bounds& bounds, const spend_terms& terms,
    base::steady_time now) {
    if (now - terms.started < bounds.window)
        return 0.0;
    return bounds.extra /
           static_cast<double>(std::max<std::size_t>(terms.instances, 1));
}

/// @return the remaining own quota, in whole retries.
int remaining_quota(
    const retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    const window_sums all = sums(allowance.used, bounds, now);
    const window_sums borrowed = sums(allowance.used_borrowed, bounds, now);
    const double earned =
        bounds.ratio * static_cast<double>(all.complete_steps.requests);
    const double quota =
        quota_fraction * (earned + extra_share(bounds, terms, now));
    const auto used =
        static_cast<double>(all.all_steps.retries - borrowed.all_steps.retries);
    const double remaining = quota - used - sum(allowance.lent);
    return std::max(0, static_cast<int>(std::floor(remaining)));
}

bool take_borrowed(retry_allowance& allowance) {
    if (allowance.borrowed.empty())
        return false;
    --allowance.borrowed.front().retries;
    return true;
}

} // namespace

bool spend_quota(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    drop_expired(allowance, now);
    const bool uses_loan = take_borrowed(allowance);
    if (!uses_loan && remaining_quota(allowance, bounds, terms, now) < 1)
        return false;
    ++current_counts(allowance.used, bounds, now).retries;
    if (uses_loan)
        ++current_counts(allowance.used_borrowed, bounds, now).retries;
    return true;
}

int retries_to_borrow(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now) {
    if (!is_large_group(terms.instances))
        return 0;
    drop_expired(allowance, now);
    const int remaining = remaining_quota(allowance, bounds, terms, now) +
                          sum(allowance.borrowed);
    return remaining < loan_threshold ? max_loan - remaining : 0;
}

int lend_retries(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, int wanted, base::steady_time now) {
    drop_expired(allowance, now);
    const int remaining = remaining_quota(allowance, bounds, terms, now);
    const int retries = std::min({remaining / lend_divisor, wanted, max_loan});
    if (retries < 1)
        return 0;
    allowance.lent.push_back({retries, now + loan_lifetime + bounds.window});
    return retries;
}

int add_borrowed_retries(
    retry_allowance& allowance, int retries, base::steady_time requested_at,
    base::steady_time now) {
    drop_expired(allowance, now);
    const base::steady_time until = requested_at + loan_lifetime;
    if (retries < 1 || until <= now)
        return 0;
    const int taken = std::min(retries, max_loan);
    allowance.borrowed.push_back({taken, until});
    return taken;
}

} // namespace mintknot::policy
