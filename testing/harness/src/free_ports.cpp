#include <mintknot/harness/free_ports.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace mintknot::harness {

namespace {

constexpr unsigned lowest = 12000;
constexpr unsigned count = 19000; ///< Ends below the ephemeral range.

bool can_bind(std::uint16_t port, int type) {
    const int descriptor = socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound =
        bind(
            descriptor, reinterpret_cast<const sockaddr*>(&address),
            sizeof address) == 0;
    close(descriptor);
    return bound;
}

} // namespace

std::uint16_t free_port() {
    // Each process starts elsewhere; ports are never handed out twice.
    static unsigned next = static_cast<unsigned>(getpid()) * 97U % count;
    for (unsigned tries = 0; tries < count; ++tries) {
        const auto port = static_cast<std::uint16_t>(lowest + next);
        next = (next + 1) % count;
        if (can_bind(port, SOCK_STREAM) && can_bind(port, SOCK_DGRAM))
            return port;
    }
    throw std::runtime_error("no free port");
}

} // namespace mintknot::harness
