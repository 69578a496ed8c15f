#include <mintknot/relay/server_results.hpp>

namespace mintknot::relay {

void note_call_result(
    router_context& context, const std::string& server_id,
    policy::call_result result, const std::string& request_id) {
    context.metrics.count_call(result);
    const base::steady_time now = context.loop.now();
    if (policy::may_be_due_to_path(result) &&
        policy::is_path_lost(context.state.paths, server_id, now)) {
        context.log.write(
            "path_blamed", {{"request", request_id},
                            {"server", server_id},
                            {"because", policy::to_string(result)}});
        return;
    }
    if (!policy::note_call_result(context.state.health, server_id, result, now))
        return;
    const auto left = base::time_left(
        policy::avoided_until(context.state.health, server_id), now);
    context.log.write(
        "server_avoided", {{"request", request_id},
                           {"server", server_id},
                           {"because", policy::to_string(result)},
                           {"for_ms", left.count()}});
    notify_load_change(context);
    context.prober.watch(server_id);
}

std::vector<policy::server_warning>
warnings_for_peers(const router_context& context) {
    const base::steady_time now = context.loop.now();
    const policy::path_view& paths = context.state.paths;
    std::vector<policy::server_warning> warnings =
        policy::own_warnings(context.state.health, now);
    std::erase_if(warnings, [&](const policy::server_warning& warning) {
        return policy::is_path_lost(paths, warning.server_id, now);
    });
    return warnings;
}

void note_peer_warning(
    router_context& context, const std::string& peer,
    const policy::server_warning& warning) {
    const base::steady_time now = context.loop.now();
    if (!policy::note_peer_warning(
            context.state.health, warning.server_id, now + warning.left, now))
        return;
    context.log.write(
        "peer_warning", {{"peer", peer},
                         {"server", warning.server_id},
                         {"for_ms", warning.left.count()}});
}

} // namespace mintknot::relay
