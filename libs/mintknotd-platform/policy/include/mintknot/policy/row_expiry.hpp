/// @file
/// Distinguishes servers that have left from servers that could not renew their
/// row in the store.
///
/// While the store is unavailable, servers cannot renew their rows, so that the
/// rows of running servers expire; they return soon after the store does.
/// Prevents running servers from being unused for up to a second after the
/// store has become available again. Log event: `removals_held`.
#ifndef MINTKNOT_POLICY_ROW_EXPIRY_HPP
#define MINTKNOT_POLICY_ROW_EXPIRY_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <optional>

namespace mintknot::policy {

/// Removals within this time are treated as one batch. Several round trips to
/// the store.
inline constexpr base::milliseconds removal_batch_time{50};

/// @param drain_bound time after its departure from which a server must get no
/// requests.
/// @return how long a running server may be without a row after the store has
/// become available again.
base::milliseconds row_recovery_time(base::milliseconds drain_bound);

/// @param seen the last time at which the row is known to have existed.
/// @return the time until which a removal may be delayed such that the drain
/// bound is met if the server has in fact left. The maximum time if the store
/// was unreachable for longer than the bound: the bound cannot be met any more,
/// and the row has more likely expired.
base::steady_time removal_hold_deadline(
    std::optional<base::steady_time> seen, base::milliseconds drain_bound,
    base::steady_time now);

/// @param known number of servers before the removals.
/// @return true if there are too many removals at once to be departures, so
/// that the store must have been unavailable unnoticed by this instance.
bool is_mass_removal(std::size_t removed, std::size_t known);

} // namespace mintknot::policy

#endif
