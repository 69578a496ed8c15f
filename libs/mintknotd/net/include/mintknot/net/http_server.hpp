/// @file
/// An HTTP listener on a thread pool that grows on demand.
#ifndef MINTKNOT_NET_HTTP_SERVER_HPP
#define MINTKNOT_NET_HTTP_SERVER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/base/time.hpp>

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace httplib {
class Server;
}

namespace mintknot::net {

/// Checked by the owner's settings; immutable after creation.
struct http_server_options {
    /// Open connections that are served at once; each holds a thread.
    std::size_t most_connections = 64;
    /// Longest body, in bytes; a longer one is refused with 413.
    std::size_t most_body_bytes = 8U * 1024 * 1024;
    /// What all requests that are being read or answered may hold together, in
    /// bytes as they come; over TLS it is not counted.
    std::size_t most_held_bytes = 64U * 1024 * 1024;
    /// How long an idle connection is kept.
    std::chrono::seconds keep_alive{5};
    /// Longest wait for the next bytes of a call.
    base::milliseconds read_timeout{10000};
    /// PEM files; both empty: plain HTTP.
    std::string certificate_file;
    std::string private_key_file;
};

/// Owns the library's server and the thread that accepts connections.
///
/// @code
/// http_server server({.most_connections = 32});
/// server.routes().Get("/healthz", handler);
/// auto port = server.start({"127.0.0.1", 0});
/// @endcode
///
/// Lifetime: what the handlers use must outlive the server. Thread: routes()
/// before start() only; start() and stop() from one thread.
class http_server {
public:
    explicit http_server(const http_server_options& options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The routing table of the library, to be filled before start().
    httplib::Server& routes();

    /// Binds and begins to accept. Port 0 takes any free port.
    /// @return the bound port, or Unavailable if the address is taken.
    absl::StatusOr<std::uint16_t> start(const base::address& where);

    /// Accepts no more, and waits for the handlers that run.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::net

#endif
