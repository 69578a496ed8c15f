/// @file
/// The steps of a planned stop, and which requests still begin during it.
///
/// Guards against requests that a stop cuts off. A stream that was begun 5 s
/// after the signal did not end within the grace. Log events: `stopping`,
/// `stopped`; refusals have the reason `stopping`.
#ifndef MINTKNOT_POLICY_DRAIN_HPP
#define MINTKNOT_POLICY_DRAIN_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/configuration.hpp>

#include <cstddef>

namespace mintknot::policy {

/// What an instance does while it stops. Later steps include earlier ones.
enum class drain_step {
    serve,      ///< Not ready; still accepts and answers everything.
    close_idle, ///< Also closes connections that carry no request.
    leave,      ///< Nothing is left, or the time is up: end now.
};

/// @param since how long ago the stop began.
/// @param grace after which the process is killed.
/// @param busy requests that are being read or answered.
drain_step next_drain_step(
    base::milliseconds since, base::milliseconds grace, std::size_t busy);

/// @return true if a request that arrives during a stop can still be answered
/// whole. A stream's length is not known: none begins once the balancer has
/// had time to send its caller elsewhere.
bool may_begin(
    const traffic::route& route, base::milliseconds since,
    base::milliseconds grace);

} // namespace mintknot::policy

#endif
