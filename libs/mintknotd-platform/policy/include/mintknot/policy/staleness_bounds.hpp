/// @file
/// How old what an instance knows of the servers may become.
///
/// A server that leaves gets no request later than the drain bound after the
/// store has taken its word. That time is shared out along the way: the store's
/// watches, the instances that pass news on, the instance that sends, and the
/// request itself. Each instance knows as of when its view was the newest, so
/// that ages add up along the way whoever is silent there, and asks the store
/// itself before they use up their share. Log fields: `servers_age_ms`.
#ifndef MINTKNOT_POLICY_STALENESS_BOUNDS_HPP
#define MINTKNOT_POLICY_STALENESS_BOUNDS_HPP

#include <mintknot/base/time.hpp>

namespace mintknot::policy {

/// From the choice of a server to the arrival of the request there: a
/// connection may have to come up.
inline constexpr base::milliseconds request_travel_time{500};

/// Parts of a bound within which all instances are to know of a change.
struct staleness_bounds {
    /// How long the store holds a watch of an instance that nobody follows. A
    /// watch that gets no answer keeps it blind until then.
    base::milliseconds unfollowed_watch;
    /// The same where all peers tell which version they know, so that who lags
    /// behind asks one of them.
    base::milliseconds peer_checked_watch;
    /// The same of an instance that passes on what it reads: while all is well,
    /// what its followers know is at least as old.
    base::milliseconds relayed_watch;
    /// From this age on the readers are not enough, and the store is asked.
    base::milliseconds max_age;
    /// Longest pause between two questions, before a random spread, while
    /// nobody answers: it comes on top of the patience.
    base::milliseconds retry_pause;
};

/// @param bound from the store's word to the last request that did not obey;
/// too short a one is not kept.
staleness_bounds staleness_bounds_for(base::milliseconds bound);

/// @return how long an instance that holds no rows may send to a server that a
/// scheduler has named: what the scheduler's patience and the way of the
/// request leave of the bound.
base::milliseconds named_server_lifetime(base::milliseconds bound);

} // namespace mintknot::policy

#endif
