/// @file
/// An HTTP server whose behaviour is a function, for tests and stand-ins.
#ifndef MINTKNOT_RELAY_TESTS_SCRIPTED_SERVER_HPP
#define MINTKNOT_RELAY_TESTS_SCRIPTED_SERVER_HPP

#include <mintknot/event/listener.hpp>
#include <mintknot/http1/message_parser.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::relay::tests {

/// A request as a backend server has received it.
struct received {
    http1::request_head head;
    std::string body;
    std::string field(std::string_view name) const;
};

/// What a backend server does with a request.
using script =
    std::function<void(const received&, const event::connection_ptr&)>;

/// A backend server whose behaviour is a function.
class scripted_server {
public:
    scripted_server(event::loop& owner, script behaviour);
    /// @return Unavailable if the address cannot be bound.
    absl::Status open(const base::address& where);
    std::uint16_t port() const { return accepting_.port(); }
    void stop() { accepting_.close(); }

    std::vector<received> requests;
    int ended = 0; ///< Connections that the other side has ended.
    script behaviour;

private:
    void accept(const event::connection_ptr& link);
    event::listener accepting_;
};

} // namespace mintknot::relay::tests

#endif
