/// @file
/// The address that callers connect to.
#ifndef MINTKNOT_RELAY_ENTRY_SERVER_HPP
#define MINTKNOT_RELAY_ENTRY_SERVER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/relay/router_state.hpp>

#include <absl/status/status.h>

#include <functional>
#include <memory>

namespace mintknot::relay {

/// Accepts callers, reads their requests and runs an exchange for each.
///
/// Lifetime: the router must outlive the server; close() first.
class entry_server {
public:
    explicit entry_server(router_context& context);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    absl::Status open(const base::address& where);
    std::uint16_t port() const;

    /// From now on every answer closes its connection, and no request is
    /// begun that cannot end within the grace.
    void begin_drain(base::milliseconds grace);
    /// Closes connections on which no request is open.
    void close_idle();
    /// @return requests that are being read or answered.
    std::size_t busy() const;
    std::size_t connections() const;
    void close();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
