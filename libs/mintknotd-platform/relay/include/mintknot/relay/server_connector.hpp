/// @file
/// Opens connections to servers, directly or through a peer.
#ifndef MINTKNOT_RELAY_SERVER_CONNECTOR_HPP
#define MINTKNOT_RELAY_SERVER_CONNECTOR_HPP

#include <mintknot/policy/server_paths.hpp>
#include <mintknot/relay/router_state.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace mintknot::relay {

/// Where the connector finds peers.
struct connector_callbacks {
    /// @return the peers that may be asked to connect to a server.
    std::function<std::vector<policy::tunnel_peer>()> peers;
    std::uint16_t peer_port = 0; ///< At which peers take tunnels.
};

/// Counters since the start of the process.
struct connector_counters {
    std::uint64_t tunnels_opened = 0;
    std::uint64_t tunnels_failed = 0; ///< Peers that had no path.
};

/// Tries the own way to a server and, by the rules of policy/server_paths.hpp,
/// a tunnel through a peer; the first connection that comes up is used. As
/// nothing is sent before, a request cannot run twice by it. Kept connections
/// to a server that does not answer new ones are closed. Log events:
/// `tunnel`, `path_lost`, `path_regained`.
///
/// Used only on the event loop's thread. The context must outlive it.
class server_connector {
public:
    server_connector(router_context& context, connector_callbacks callbacks);
    ~server_connector();
    server_connector(const server_connector&) = delete;
    server_connector& operator=(const server_connector&) = delete;

    /// Opens a connection. Targets that are not in the server table, or say so
    /// themselves, are reached directly only. The outcome says "refused" only
    /// if the peers that were asked were refused as well.
    void connect(
        const upstream::target& where, base::milliseconds timeout,
        upstream::connect_handler on_done);

    /// Opens a connection without peers.
    void connect_directly(
        const upstream::target& where, base::milliseconds timeout,
        upstream::connect_handler on_done);

    const connector_counters& counters() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
