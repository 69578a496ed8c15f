/// @file
/// A loopback port that nobody listens on, and that nobody else can get.
#ifndef MINTKNOT_RELAY_TESTS_BOUND_PORT_HPP
#define MINTKNOT_RELAY_TESTS_BOUND_PORT_HPP

#include <cstdint>

namespace mintknot::relay::tests {

/// Connections to it are refused as long as the object lives. A port that was
/// merely free a moment ago may be taken by a server of another test, which
/// then answers in place of the dead one.
class bound_port {
public:
    bound_port();
    ~bound_port();
    bound_port(const bound_port&) = delete;
    bound_port& operator=(const bound_port&) = delete;

    std::uint16_t number() const noexcept { return number_; }

private:
    int socket_ = -1;
    std::uint16_t number_ = 0;
};

} // namespace mintknot::relay::tests

#endif
