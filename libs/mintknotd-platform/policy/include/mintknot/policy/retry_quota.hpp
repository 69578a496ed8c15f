/// @file
/// Repeats in large groups, where peers are heard too late to share what they
/// leave: parts that add up to the bound, and loans of parts.
///
/// Inputs: the own counts, exact; no news of peers. An instance may spend, in
/// each window, `ratio` for each of its own requests of that window and an
/// equal part of the extra. All these parts together are never more than the
/// bound, whoever hears whom. An instance that needs more asks a few peers; a
/// peer lends half of what it has left, counts that as spent for as long as
/// the borrower may use it and a window more, and needs no answer. The borrower
/// counts the time from before it asked, so that late, lost and doubled
/// datagrams can only waste a loan. An instance that has just started does not
/// know what its earlier life has spent or lent of the extra: it has no part of
/// that until a window has passed.
///
/// Guards the bound where 58 to 400 instances meet the same trouble: by news of
/// 1.2 s ago they spent 1.57 times the bound, with parts and loans 0.9
/// (test_retry_bound.cpp). Log event: `repeats_borrowed`.
#ifndef MINTKNOT_POLICY_RETRY_QUOTA_HPP
#define MINTKNOT_POLICY_RETRY_QUOTA_HPP

#include <mintknot/policy/retry_allowance.hpp>

namespace mintknot::policy {

/// How long borrowed repeats may be used, from before they were asked for.
/// Some hundred times the way there and back; longer loans would lie idle.
inline constexpr base::milliseconds loan_lifetime{2000};

/// Most repeats that one question may ask for. See loan_threshold in the
/// source.
inline constexpr int max_loan = 8;

/// Takes one repeat, a borrowed one first: that one lapses sooner.
/// @return false if there is none left.
bool spend_quota(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now);

/// @return how many repeats to ask peers for; 0 while there are enough, and in
/// small groups.
int retries_to_borrow(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now);

/// Lends a peer what is left here. @return how many repeats, at most `wanted`.
int lend_retries(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, int wanted, base::steady_time now);

/// Takes what a peer has lent. @param asked when it was asked for.
/// @return how many repeats were taken: none if the answer came too late.
int add_borrowed_retries(
    retry_allowance& allowance, int retries, base::steady_time requested_at,
    base::steady_time now);

} // namespace mintknot::policy

#endif
