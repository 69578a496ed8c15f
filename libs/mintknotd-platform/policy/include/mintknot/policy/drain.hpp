/// @file
/// Draining: the steps of a planned stop, and which requests may still start
/// during it.
///
/// Keeps a stop from cutting off requests: a stream that started 5 s after the
/// stop signal did not end within the grace period. Log events: `stopping`,
/// `stopped`; refusals have the reason `stopping`.
#ifndef MINTKNOT_POLICY_DRAIN_HPP
#define MINTKNOT_POLICY_DRAIN_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/configuration.hpp>

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

/// @return true if a request that arrives during a stop can still be answered
/// completely. The length of a stream is unknown, so none starts once the load
/// balancer has had time to send its caller to another instance.
bool may_start_while_draining(
    const traffic::route& route, base::milliseconds since,
    base::milliseconds grace);

} // namespace mintknot::policy

#endif
