/// @file
/// When an instance refuses new connections because it is overloaded.
///
/// Callers may be handed to one instance in larger numbers than it can serve
/// while its peers have room. A caller whose connection is refused tries again
/// elsewhere, and has not sent its request, which would take the link; a
/// request that is read and answered too late is lost. The share of the time in
/// which connections are refused is controlled as by PIE (RFC 8033), with the
/// standing delays of the event loop and of new connections to servers, which
/// pass this instance's link, in place of that of a queue. It is lowered where
/// peers are overloaded too: if all are, callers have nowhere to go, and
/// requests are refused by the rules of admission.
///
/// Inputs: standing delays (standing_delay.hpp), and what peers of the data
/// centre tell of theirs. Log events: `shedding`, `shedding_ended`; metrics
/// `overloaded`, `shed_share`, `refusing_connections`.
#ifndef MINTKNOT_POLICY_LOAD_SHEDDING_HPP
#define MINTKNOT_POLICY_LOAD_SHEDDING_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <optional>

namespace mintknot::policy {

/// Time between two updates, if the loop is not late.
inline constexpr base::milliseconds shedding_interval{25};

/// Standing delays that shedding aims at. A request passes the loop some five
/// times, and the link four times.
inline constexpr base::milliseconds loop_delay_target{8};
inline constexpr base::milliseconds connect_delay_target{20};

/// The standing delays of this instance; nothing: not known.
struct instance_delays {
    std::optional<base::microseconds> loop;
    std::optional<base::microseconds> connect;
};

/// Share of new connections to be refused because of one of the delays.
struct delay_control {
    double share = 0.0; ///< In [0, 1].
    base::microseconds last_delay{0};
};

/// State of the controllers.
struct shedding_state {
    delay_control loop;
    delay_control connect;
    /// By which the time in which connections were refused lags behind the
    /// share, in intervals.
    double owed_intervals = 0.0;
};

/// The instances of the data centre that callers may turn to.
struct peer_load {
    std::size_t peers = 0;
    std::size_t overloaded = 0;
};

/// Updates the shares with the current delays.
void update(shedding_state& state, const instance_delays& delays);

/// @return the share of new connections that would be refused if no peer was
/// overloaded.
double own_share(const shedding_state& state);

/// @return true if the instance gets more than it can serve, so that peers are
/// to be told.
bool is_overloaded(const shedding_state& state);

/// @return the share of new connections to be refused.
double shed_share(const shedding_state& state, const peer_load& neighbours);

/// Decides for the time until the next update. @param share see shed_share().
/// @return true if new connections are refused in it.
bool refuse_next_interval(shedding_state& state, double share);

} // namespace mintknot::policy

#endif
