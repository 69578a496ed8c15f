/// @file
/// What instances say to each other to open a tunnel: HTTP CONNECT with the ID
/// of a server as its target. After status 200 the connection carries the bytes
/// of the server's connection. A peer of an earlier version answers 404.
#ifndef MINTKNOT_RELAY_TUNNEL_PROTOCOL_HPP
#define MINTKNOT_RELAY_TUNNEL_PROTOCOL_HPP

#include <mintknot/http1/message.hpp>

#include <string>
#include <string_view>

namespace mintknot::relay {

inline constexpr std::string_view tunnel_method = "CONNECT";

struct tunnel_request {
    std::string server_id;
    std::string request_id; ///< For log lines; may be empty.
};

/// What a peer answers.
enum class tunnel_result {
    opened,
    refused,     ///< The server's machine says that nothing listens there.
    unreachable, ///< The server does not answer, or may get no requests.
    no_path,     ///< The peer is silent, isolated, busy or does not know it.
};

/// @return the head that asks for a tunnel.
http1::request_head to_head(const tunnel_request& request);
/// @return the request that a head with tunnel_method asks for.
tunnel_request tunnel_request_of(const http1::request_head& head);

/// @return the status that tells the result.
int status_of(tunnel_result result) noexcept;
/// @return the result that a status tells.
tunnel_result tunnel_result_of(int status) noexcept;

} // namespace mintknot::relay

#endif
