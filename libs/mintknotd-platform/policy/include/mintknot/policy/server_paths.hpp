/// @file
/// Whether a failure lies at a server or on this instance's way to it, and
/// which peers to connect through.
///
/// Inputs: the results of own attempts to connect, and of those that peers made
/// for this instance; both at once, none from earlier than a few seconds ago.
/// What only this instance cannot reach is no evidence against a server.
/// Log events: `path_lost`, `path_regained`, `tunnel`.
#ifndef MINTKNOT_POLICY_SERVER_PATHS_HPP
#define MINTKNOT_POLICY_SERVER_PATHS_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::policy {

/// A server that was not reached directly the last time.
struct lost_path {
    base::steady_time failure{};        ///< The last one, without a peer.
    base::steady_time tunnel_success{}; ///< The last one, through a peer.
};

/// Results of connecting through one peer.
struct peer_path {
    base::steady_time success{};
    base::steady_time failure{}; ///< The peer did not answer or had no path.
};

/// What an instance knows about its ways to servers.
struct path_view {
    std::unordered_map<std::string, lost_path> lost;  ///< By server ID.
    std::unordered_map<std::string, peer_path> peers; ///< By host.
    base::steady_time direct_success{}; ///< The last one to any server.
};

void note_direct_success(
    path_view& view, const std::string& id, base::steady_time now);
void note_direct_failure(
    path_view& view, const std::string& id, base::steady_time now);

/// Records a connection through a peer to a server.
void note_tunnel_success(
    path_view& view, const std::string& id, const std::string& host,
    base::steady_time now);
/// Records that a peer could not be asked, or had no path of its own.
void note_tunnel_failure(
    path_view& view, const std::string& host, base::steady_time now);

/// Removes all records of a server.
void forget(path_view& view, const std::string& id);

/// @return true if this instance has lately failed to connect to several
/// servers and connected to none since: what it cannot reach is not evidence
/// against a server.
bool is_isolated(const path_view& view, base::steady_time now);

/// @return true if a lost connection to the server, or one that is silent, is
/// likely due to the path: the instance is isolated, or peers reach the server
/// and this instance does not.
bool is_path_lost(
    const path_view& view, const std::string& id, base::steady_time now);

/// @return how long to wait for an own connection to the server before a peer
/// is asked as well. @param timeout of the connection.
base::milliseconds time_before_tunnel(
    const path_view& view, const std::string& id, base::milliseconds timeout,
    base::steady_time now);

/// A peer that can be asked to connect to a server.
struct tunnel_peer {
    std::string host;
    bool same_data_centre = false;
};

/// Maximum number of peers that are asked for one connection.
inline constexpr std::size_t max_tunnel_peers = 3;

/// @return the hosts to ask, in this order; at most max_tunnel_peers.
/// @param draw_uniform returns random numbers in [0, 1).
std::vector<std::string> choose_tunnel_peers(
    const path_view& view, const std::vector<tunnel_peer>& peers,
    base::steady_time now, const std::function<double()>& draw_uniform);

} // namespace mintknot::policy

#endif
