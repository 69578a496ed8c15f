/// @file
/// The HTTP server that callers connect to.
#ifndef MINTKNOT_RELAY_ENTRY_SERVER_HPP
#define MINTKNOT_RELAY_ENTRY_SERVER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/relay/router_state.hpp>

#include <absl/status/status.h>

#include <functional>
#include <memory>

namespace mintknot::relay {

/// Accepts connections of callers, reads their requests and runs an exchange
/// for each request.
///
/// The router_context must outlive the server. Call stop_accepting() before
/// destroying the server.
class entry_server {
public:
    explicit entry_server(router_context& context);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    absl::Status open(const base::address& where);
    std::uint16_t port() const;

    /// Starts a graceful shutdown: each answer closes its connection, and
    /// requests that cannot finish within the grace period are refused.
    void begin_drain(base::milliseconds grace);
    /// Refuses the requests that can no longer be answered before the grace
    /// period ends, and have not run.
    void refuse_late();
    /// Answers all requests that are under way, because the process ends.
    void end_all();
    /// Closes the connections on which no request is being read or answered.
    void close_idle();
    /// Logs and counts each connection on which a request is being read or
    /// answered, as one that the end of the process closes.
    void record_unfinished() const;
    /// @return the number of requests that are being read or answered.
    std::size_t active_requests() const;
    std::size_t connections() const;
    /// Refuses new connections from now on; those that are open stay.
    void stop_accepting();
    /// Accepts new connections again, at the same address.
    /// @return Unavailable if the address cannot be bound.
    absl::Status resume_accepting();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
