/// @file
/// What servers say of themselves in their answers.
#ifndef MINTKNOT_RELAY_SERVER_NOTICES_HPP
#define MINTKNOT_RELAY_SERVER_NOTICES_HPP

#include <mintknot/relay/router_state.hpp>

#include <string>

namespace mintknot::relay {

/// From now on every answer on a connection of the pool is looked at, whatever
/// was asked: runs, prompts, refusals, checks, orders, reports. A server's own
/// word stands beside its row, which may come much later. The router outlives
/// its pool's calls. Log events: `server_leaving`, `server_rests`,
/// `server_limited`, `server_limit_ended`, `server_limit_unreadable`.
void follow_server_notices(router_context& context);

/// Takes what a server has said.
void take_notice(
    router_context& context, const std::string& server_id,
    const server_notice& notice);

/// Logs a change of a limit.
/// @param told_by host of the peer that reported it; empty if this instance
/// received the server's answer.
void log_limit(
    router_context& context, const std::string& server_id,
    const std::string& told_by);

/// @return true if the server may get a request of this instance now.
bool may_send_to(const router_context& context, const traffic::server& server);

} // namespace mintknot::relay

#endif
