/// @file
/// Content of the heartbeats that an instance sends, and what it applies from
/// those that it receives.
#ifndef MINTKNOT_RUNTIME_HEARTBEAT_CONTENT_HPP
#define MINTKNOT_RUNTIME_HEARTBEAT_CONTENT_HPP

#include <mintknot/peers/heartbeat.hpp>
#include <mintknot/relay/router_state.hpp>

#include <string>

namespace mintknot::runtime {

/// @param with_loads false if loads are reported to schedulers instead.
/// @return a heartbeat without the versions of documents.
peers::heartbeat describe(const relay::router_context& router, bool with_loads);

/// Applies the loads, retries and server warnings of a heartbeat.
void take_heartbeat(
    relay::router_context& router, const std::string& host,
    const peers::heartbeat& heartbeat);

} // namespace mintknot::runtime

#endif
