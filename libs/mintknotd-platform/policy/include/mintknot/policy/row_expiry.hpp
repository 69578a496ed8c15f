/// @file
/// Whether a server whose row has gone has left, or only could not renew it.
///
/// While the store is away servers cannot renew their rows, and living ones
/// lapse; they are back soon after its return. Guards against servers that
/// nobody uses for up to a second after the store's return. Log event:
/// `removals_held`.
#ifndef MINTKNOT_POLICY_ROW_EXPIRY_HPP
#define MINTKNOT_POLICY_ROW_EXPIRY_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <optional>

namespace mintknot::policy {

/// Removals that come together are judged together. Some round trips to the
/// store.
inline constexpr base::milliseconds removal_batch_time{50};

/// @return how long after the store's return a server that lives may be without
/// a row.
/// @param drain_bound within which a server that leaves gets no request.
base::milliseconds row_recovery_time(base::milliseconds drain_bound);

/// @return until when a removal may be held back without requests arriving
/// there beyond the drain bound, should the server have left; the end of time
/// where the bound cannot be kept any more, as the store was out of reach for
/// longer: then the row has rather lapsed.
/// @param seen the last moment at which the row is known to have been there.
base::steady_time removal_hold_deadline(
    std::optional<base::steady_time> seen, base::milliseconds drain_bound,
    base::steady_time now);

/// @return true if so many removals at once are no departure: the store has
/// been away without this instance noticing.
/// @param known servers before them.
bool is_mass_removal(std::size_t removed, std::size_t known);

} // namespace mintknot::policy

#endif
