/// @file
/// What the results of calls, and warnings of peers, tell about servers.
#ifndef MINTKNOT_RELAY_SERVER_RESULTS_HPP
#define MINTKNOT_RELAY_SERVER_RESULTS_HPP

#include <mintknot/relay/router_state.hpp>

#include <string>
#include <vector>

namespace mintknot::relay {

/// Records the result of a call, unless it is likely due to the path to the
/// server (policy/server_paths.hpp). If the server is now to be avoided, logs
/// this and starts its health checks.
void note_call_result(
    router_context& context, const std::string& server_id,
    policy::call_result result, const std::string& request_id);

/// @return the servers that peers are to avoid as well: not those that only
/// this instance does not reach.
std::vector<policy::server_warning>
warnings_for_peers(const router_context& context);

/// Records a peer's warning to avoid a server for some time, and logs it if
/// none was in force before.
void note_peer_warning(
    router_context& context, const std::string& peer,
    const policy::server_warning& warning);

} // namespace mintknot::relay

#endif
