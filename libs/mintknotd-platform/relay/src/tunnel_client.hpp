/// @file
/// Opens a connection to a server through a peer.
#ifndef MINTKNOT_RELAY_TUNNEL_CLIENT_HPP
#define MINTKNOT_RELAY_TUNNEL_CLIENT_HPP

#include "tunnel_protocol.hpp"

#include <mintknot/base/address.hpp>
#include <mintknot/event/connection.hpp>

#include <functional>

namespace mintknot::relay {

/// Asks a peer to connect to a server.
/// @param on_done called once, within the timeout and not from within the call;
/// the connection is null unless the result is `opened`.
void open_tunnel(
    event::loop& owner, const base::address& peer,
    const tunnel_request& request, base::milliseconds timeout,
    std::function<void(event::connection_ptr, tunnel_result)> on_done);

} // namespace mintknot::relay

#endif
