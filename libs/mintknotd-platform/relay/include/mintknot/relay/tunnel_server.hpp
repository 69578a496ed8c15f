/// @file
/// Connects to servers for peers that have no way of their own.
#ifndef MINTKNOT_RELAY_TUNNEL_SERVER_HPP
#define MINTKNOT_RELAY_TUNNEL_SERVER_HPP

#include <mintknot/event/connection.hpp>
#include <mintknot/http1/message.hpp>
#include <mintknot/relay/server_connector.hpp>

#include <cstdint>
#include <memory>

namespace mintknot::relay {

/// Counters since the start of the process.
struct tunnel_counters {
    std::uint64_t served = 0;
    std::uint64_t rejected = 0; ///< Asked for, and not opened.
};

/// Connects peers to servers of the server table that may get requests, and
/// passes bytes both ways until one side ends. Opens no tunnel while this
/// instance stops, and none through another peer. The end of one side, orderly
/// or by a reset, becomes the same end of the other. Log event:
/// `tunnel_served`.
///
/// Used only on the event loop's thread. Context and connector must outlive it.
class tunnel_server {
public:
    tunnel_server(router_context& context, server_connector& connector);
    ~tunnel_server();
    tunnel_server(const tunnel_server&) = delete;
    tunnel_server& operator=(const tunnel_server&) = delete;

    /// Takes over the connection of a peer that has sent a request for a
    /// tunnel.
    void
    serve(const http1::request_head& head, const event::connection_ptr& peer);

    /// @return the number of tunnels that are open.
    std::size_t open() const;
    /// Resets all tunnels.
    void close();
    const tunnel_counters& counters() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
