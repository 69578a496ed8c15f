#include "heartbeat_content.hpp"

#include <mintknot/relay/server_results.hpp>

namespace mintknot::runtime {

namespace {

/// A sender in another data centre than both this instance and the server may
/// be cut off from the server while this instance is not.
/// @return true if the sender's warning applies to this instance.
bool warning_applies(
    const relay::router_context& router, const peers::heartbeat& heartbeat,
    const std::string& server_id) {
    if (heartbeat.data_centre == router.options.data_centre)
        return true;
    const traffic::server* server =
        traffic::find(router.state.servers, server_id);
    return server != nullptr && server->data_centre == heartbeat.data_centre;
}

} // namespace

peers::heartbeat
describe(const relay::router_context& router, bool with_loads) {
    const relay::router_state& state = router.state;
    const base::steady_time now = router.loop.now();
    peers::heartbeat own;
    own.leaving = state.stopping;
    own.data_centre = router.options.data_centre;
    for (const auto& [service, allowance] : state.retry_allowances)
        own.usage[service] = policy::usage(allowance, state.retry_bounds, now);
    if (with_loads)
        own.loads = state.loads.own;
    own.waiting = router.queue.waiting_tokens();
    own.warnings = relay::warnings_for_peers(router);
    for (const auto& [id, until] : state.health.phase_change_until)
        if (until > now)
            own.changes.push_back({id, base::time_left(until, now)});
    return own;
}

void take_heartbeat(
    relay::router_context& router, const std::string& host,
    const peers::heartbeat& heartbeat) {
    relay::router_state& state = router.state;
    const base::steady_time now = router.loop.now();
    if (heartbeat.loads)
        traffic::set_peer(state.loads, host, *heartbeat.loads, now);
    relay::note_peer_waiting(state, host, heartbeat.waiting, now);
    relay::note_peer_retries(
        state, host, heartbeat.incarnation, heartbeat.usage, now);
    for (const policy::server_warning& change : heartbeat.changes)
        policy::note_peer_phase_change(
            state.health, change.server_id, now + change.left);
    for (const policy::server_warning& warning : heartbeat.warnings)
        if (warning_applies(router, heartbeat, warning.server_id))
            relay::note_peer_warning(router, host, warning);
}

} // namespace mintknot::runtime
