/// @file
/// An HTTP server with scripted behaviour, for tests.
#ifndef MINTKNOT_RELAY_TESTS_SCRIPTED_SERVER_HPP
#define MINTKNOT_RELAY_TESTS_SCRIPTED_SERVER_HPP

#include <mintknot/event/listener.hpp>
#include <mintknot/http1/message_parser.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::relay::tests {

/// A request as received by a scripted server.
struct received_request {
    http1::request_head head;
    std::string body;
    std::string field(std::string_view name) const;
};

/// Handles a request that a scripted server has received.
using script =
    std::function<void(const received_request&, const event::connection_ptr&)>;

/// A backend server that passes each request to a script.
class scripted_server {
public:
    scripted_server(event::loop& owner, script behaviour);
    /// @return Unavailable if the address cannot be bound.
    absl::Status open(const base::address& where);
    std::uint16_t port() const { return listener_.port(); }
    void stop() { listener_.close(); }

    std::vector<received_request> requests;
    int closed_connections = 0; ///< Number of connections closed by the peer.
    script behaviour;

private:
    void accept(const event::connection_ptr& link);
    event::listener listener_;
};

} // namespace mintknot::relay::tests

#endif
