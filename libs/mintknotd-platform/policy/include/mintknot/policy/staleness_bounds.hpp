/// @file
/// Bounds on the staleness of the server table of an instance.
///
/// A leaving server must get no request later than the drain bound after the
/// store has recorded its departure. That time is divided among the steps of
/// propagation: the watches of the store, the instances that relay changes, the
/// instance that sends the request, and the transfer of the request. Each
/// instance tracks when its view was last known to be current. Ages thus add up
/// along the path even if an instance on it fails, and an instance reads from
/// the store itself before its share is used up. Log fields: `servers_age_ms`.
#ifndef MINTKNOT_POLICY_STALENESS_BOUNDS_HPP
#define MINTKNOT_POLICY_STALENESS_BOUNDS_HPP

#include <mintknot/base/time.hpp>

namespace mintknot::policy {

/// Time allowed between the choice of a server and the arrival of the request
/// there; includes opening a connection.
inline constexpr base::milliseconds request_travel_time{500};

/// Parts of the time within which all instances must have received a change.
struct staleness_bounds {
    /// Duration of a store watch of an instance that relays nothing. If the
    /// store does not answer, the instance receives no changes for this time.
    base::milliseconds unfollowed_watch;
    /// The same if all peers announce their version, so that an instance that
    /// lags behind can read from one of them.
    base::milliseconds peer_checked_watch;
    /// The same for an instance that relays changes: even without faults, the
    /// data of its followers can be this old.
    base::milliseconds relayed_watch;
    /// Age from which an instance reads from the store itself instead of
    /// waiting for the relaying instances.
    base::milliseconds max_age;
    /// Maximum delay between two unanswered reads, before jitter. Adds to
    /// `max_age`.
    base::milliseconds retry_pause;
};

/// @param bound time from the change in the store to the last request that does
/// not reflect it. Values too short to be met are raised to a minimum.
staleness_bounds staleness_bounds_for(base::milliseconds bound);

/// @return the age that a server table reaches at most while all is well.
base::milliseconds max_table_age(base::milliseconds bound);

/// @return how long an instance without a server table may send requests to a
/// server chosen by a scheduler: the bound less the maximum age of the
/// scheduler's data and the transfer time of a request.
base::milliseconds named_server_lifetime(base::milliseconds bound);

} // namespace mintknot::policy

#endif
