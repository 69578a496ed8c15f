/// @file
/// Accepts TCP connections on the event loop.
#ifndef MINTKNOT_EVENT_LISTENER_HPP
#define MINTKNOT_EVENT_LISTENER_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/event/connection.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace mintknot::event {

/// Accepts until it is closed or destroyed; it may be opened again.
class listener {
public:
    explicit listener(loop& owner);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// Bounds what the system keeps of what has arrived and is not read yet,
    /// for each connection that comes after the next open().
    void set_receive_buffer(std::size_t bytes);

    /// @return Unavailable if the address cannot be bound.
    absl::Status open(
        const base::address& where,
        std::function<void(connection_ptr)> on_connection);
    /// @return the bound port; useful after binding port 0.
    std::uint16_t port() const;
    /// Connections that have not been accepted yet are reset.
    void close();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::event

#endif
