/// @file
/// Draining: the steps of a planned stop, and which requests may still start
/// during it.
///
/// Keeps a stop from cutting off requests: one that started late in the grace
/// period was at work at its end. Log events: `stopping`, `stopped`; refusals
/// have the reason `stopping`.
#ifndef MINTKNOT_POLICY_DRAIN_HPP
#define MINTKNOT_POLICY_DRAIN_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>

namespace mintknot::policy {

/// What an instance does while it stops. Each step includes the earlier ones.
enum class drain_step {
    serve,      ///< Reports not ready, but still accepts and answers requests.
    close_idle, ///< Also closes connections that carry no request.
    terminate,  ///< No request is left, or the time is up: exit now.
};

/// @param since time since the stop began.
/// @param grace time after which the process is killed.
/// @param busy number of requests that are being received or answered.
drain_step next_drain_step(
    base::milliseconds since, base::milliseconds grace, std::size_t busy);

/// @return true if a request may still go to a server during a stop: it ends
/// within the grace period, whatever it waits for, or the load balancer has not
/// had the time yet to send its caller to another instance.
/// @param time_left of the request, until its deadline or the timeout of its
/// route, whichever is earlier.
bool may_start_while_draining(
    base::milliseconds time_left, base::milliseconds since,
    base::milliseconds grace);

} // namespace mintknot::policy

#endif
