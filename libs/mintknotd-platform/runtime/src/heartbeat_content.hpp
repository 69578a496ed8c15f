/// @file
/// What an instance tells in its heartbeats, and takes from those of others.
#ifndef MINTKNOT_RUNTIME_HEARTBEAT_CONTENT_HPP
#define MINTKNOT_RUNTIME_HEARTBEAT_CONTENT_HPP

#include <mintknot/peers/heartbeat.hpp>
#include <mintknot/relay/router_state.hpp>

#include <string>

namespace mintknot::runtime {

/// @param with_loads false: loads are told to schedulers instead.
/// @return the heartbeat without versions of documents.
peers::heartbeat describe(const relay::router_context& router, bool with_loads);

/// Takes loads, retries, and what the sender knows of servers.
void take_heartbeat(
    relay::router_context& router, const std::string& host,
    const peers::heartbeat& heartbeat);

} // namespace mintknot::runtime

#endif
