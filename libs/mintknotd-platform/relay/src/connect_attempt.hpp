/// @file
/// One attempt to connect to a server in several ways.
#ifndef MINTKNOT_RELAY_CONNECT_ATTEMPT_HPP
#define MINTKNOT_RELAY_CONNECT_ATTEMPT_HPP

#include "tunnel_client.hpp"

#include <mintknot/relay/server_connector.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mintknot::relay {

/// What an attempt needs of its connector.
struct attempt_services {
    event::loop& owner;
    /// Connects without peers and records the result.
    std::function<void(
        const upstream::target&, base::milliseconds, upstream::connect_handler)>
        connect_directly;
    /// @return the hosts of the peers to ask, in this order.
    std::function<std::vector<std::string>()> choose_peers;
    std::uint16_t peer_port = 0;
    /// Records what a peer has answered.
    std::function<void(
        const upstream::target&, const std::string& host, tunnel_result)>
        note_tunnel;
    /// Keeps a direct connection that came up too late.
    std::function<void(const upstream::target&, event::connection_ptr)> keep;
};

/// Connects directly and, after a while or once that has failed, through peers.
class connect_attempt : public std::enable_shared_from_this<connect_attempt> {
public:
    connect_attempt(
        attempt_services services, upstream::target where,
        base::milliseconds timeout, upstream::connect_handler on_done);

    /// @param before_tunnel how long to wait for the direct connection before a
    /// peer is asked as well.
    void start(base::milliseconds before_tunnel);

private:
    void on_direct(upstream::connect_outcome outcome);
    void ask_next_peer();
    void on_tunnel(
        const std::string& host, event::connection_ptr link,
        tunnel_result result);
    void fail_if_exhausted();
    void finish(upstream::connect_outcome outcome);

    attempt_services services_;
    upstream::target where_;
    base::milliseconds timeout_;
    base::steady_time deadline_;
    upstream::connect_handler on_done_; ///< Null once it has been called.
    event::timer limit_;
    event::timer next_tunnel_;
    std::vector<std::string> hosts_;
    bool peers_chosen_ = false;
    std::size_t next_host_ = 0;
    int open_tunnels_ = 0; ///< Peers that have not answered yet.
    bool direct_open_ = true;
    event::connect_result direct_result_ = event::connect_result::unreachable;
    bool refused_at_peer_ = false;
};

} // namespace mintknot::relay

#endif
