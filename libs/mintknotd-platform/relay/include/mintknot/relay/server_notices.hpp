/// @file
/// Handling of what servers say about their own state in their answers.
#ifndef MINTKNOT_RELAY_SERVER_NOTICES_HPP
#define MINTKNOT_RELAY_SERVER_NOTICES_HPP

#include <mintknot/relay/router_state.hpp>

#include <string>

namespace mintknot::relay {

/// Starts to evaluate the notices in every answer on a connection of the pool:
/// answers to requests, prefill calls, health checks, orders and reports, and
/// refusals. Notices are kept beside the server's row in the server table,
/// which may be updated much later. The context must outlive the calls of its
/// pool. Log events: `server_leaving`, `server_rests`, `server_limited`,
/// `server_limit_ended`, `server_limit_unreadable`.
void observe_server_notices(router_context& context);

/// Updates the router's state with a notice from a server.
void apply_server_notice(
    router_context& context, const std::string& server_id,
    const server_notice& notice);

/// Logs the change of a server's rate limit.
/// @param reported_by host of the peer that reported the limit; empty if this
/// instance received it in an answer of the server.
void log_limit(
    router_context& context, const std::string& server_id,
    const std::string& reported_by);

/// @return true if this instance may send a request to the server now.
bool may_send_to(const router_context& context, const traffic::server& server);

} // namespace mintknot::relay

#endif
