/// @file
/// A loopback port that refuses connections and stays reserved.
#ifndef MINTKNOT_RELAY_TESTS_BOUND_PORT_HPP
#define MINTKNOT_RELAY_TESTS_BOUND_PORT_HPP

#include <cstdint>

namespace mintknot::relay::tests {

/// Binds a port without listening on it, so that connections to it are refused
/// during the lifetime of the object. A port that is only known to be free may
/// be taken by a server of another test, which would then answer instead.
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
