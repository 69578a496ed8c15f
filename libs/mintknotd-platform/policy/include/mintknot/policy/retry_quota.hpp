/// @file
/// Retry quotas for large groups, in which the usage reported by peers is
/// too old to share unused retries: fixed quotas that add up to the bound, and
/// loans between instances.
///
/// Inputs: the counts of this instance only. In each window, an instance may
/// spend `ratio` retries for each of its own requests and an equal share of
/// `extra`. The sum of these quotas never exceeds the bound, whichever
/// instances can reach each other. An instance that needs more asks a few
/// peers. A peer lends half of its remaining quota and counts the loan as spent
/// for the lifetime of the loan plus one window; no acknowledgement is needed.
/// The borrower measures the lifetime from before it sent its query, so
/// delayed, lost and duplicated datagrams can only waste a loan. After a
/// restart, an instance does not know how much of its share of `extra` it had
/// already spent or lent, so it has no such share until one window has passed.
///
/// Keeps the bound if many servers reject calls at once. With usage reports
/// that were 1.2 s old, groups of 58 to 400 instances spent 1.57 times the
/// bound, with quotas and loans 0.9 times (test_retry_bound.cpp). Log event:
/// `repeats_borrowed`.
#ifndef MINTKNOT_POLICY_RETRY_QUOTA_HPP
#define MINTKNOT_POLICY_RETRY_QUOTA_HPP

#include <mintknot/policy/retry_allowance.hpp>

namespace mintknot::policy {

/// Lifetime of borrowed retries, from before they were requested. About a
/// hundred round trips; longer loans would mostly be unused.
inline constexpr base::milliseconds loan_lifetime{2000};

/// Maximum number of retries requested at once. See loan_threshold in the
/// source.
inline constexpr int max_loan = 8;

/// Consumes one retry. Borrowed ones are used first, as they expire sooner.
/// @return false if none is left.
bool spend_quota(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now);

/// @return the number of retries to request from peers; 0 if enough are left or
/// the group is small.
int retries_to_borrow(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now);

/// Lends a part of the remaining quota to a peer.
/// @return the number of retries lent, at most `wanted`.
int lend_retries(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, int wanted, base::steady_time now);

/// Adds retries that a peer has lent.
/// @param requested_at time of the query to the peer.
/// @return the number of retries added; 0 if the loan has already expired.
int add_borrowed_retries(
    retry_allowance& allowance, int retries, base::steady_time requested_at,
    base::steady_time now);

} // namespace mintknot::policy

#endif
