/// @file
/// A small HTTP server for readiness checks, metrics and requests of peers.
#ifndef MINTKNOT_RELAY_LOCAL_SERVER_HPP
#define MINTKNOT_RELAY_LOCAL_SERVER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/event/connection.hpp>
#include <mintknot/event/loop.hpp>
#include <mintknot/http1/message.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mintknot::relay {

/// The complete answer to a request.
struct local_answer {
    int status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// Sends the answer to one request, immediately or later; calls after the first
/// have no effect. It is safe to call after the connection or the server is
/// gone.
using local_reply = std::function<void(const local_answer&)>;

/// Takes over a connection after the head of a CONNECT request.
using tunnel_handler =
    std::function<void(const http1::request_head&, event::connection_ptr)>;

/// Answers each request with the result of a handler function. Rejects requests
/// with large heads or bodies, and connections above a fixed number.
class local_server {
public:
    using handler =
        std::function<void(const http1::request_head&, local_reply)>;

    /// @param on_tunnel takes CONNECT requests; without it, the handler of all
    /// other requests answers them.
    local_server(
        event::loop& owner, handler answer, tunnel_handler on_tunnel = {});
    ~local_server();
    local_server(const local_server&) = delete;
    local_server& operator=(const local_server&) = delete;

    absl::Status open(const base::address& where);
    std::uint16_t port() const;
    /// Stops accepting connections.
    void close();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// @return a handler that replies with the return value of the function.
local_server::handler synchronous_handler(
    std::function<local_answer(const http1::request_head&)> answer);

} // namespace mintknot::relay

#endif
