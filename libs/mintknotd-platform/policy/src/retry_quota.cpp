#include <mintknot/policy/retry_quota.hpp>

#include <mintknot/policy/group.hpp>
#include <mintknot/policy/usage_window.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

/// Part of the bound that is given out. An instance spends most when its window
/// holds most requests, and not all do so at one time: with the whole of it, 58
/// instances of 6 requests a second each used up to 1.06 of the bound in some
/// window (test_retry_quota.cpp), with this part 0.96.
constexpr double quota_fraction = 0.9;
/// An instance asks for more when it has fewer repeats left than this: those of
/// one call that full servers turn away, up to three, are then there.
constexpr int loan_threshold = 3;
/// Lent is this part of what is left, so that the lender can still serve its
/// own callers.
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

/// @return the own part of the extra.
double extra_share(
    const retry_bounds& bounds, const spend_terms& terms,
    base::steady_time now) {
    if (now - terms.started < bounds.window)
        return 0.0;
    return bounds.extra /
           static_cast<double>(std::max<std::size_t>(terms.instances, 1));
}

/// @return whole repeats that are left of the own part.
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
