#include <mintknot/entry/connection_watch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <string>

namespace mintknot::entry {

namespace {

/// @return the peer of a connected socket; port 0 for other descriptors.
base::address peer_of(int descriptor) {
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    auto* generic = reinterpret_cast<sockaddr*>(&storage);
    if (getpeername(descriptor, generic, &length) != 0)
        return {};
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (storage.ss_family == AF_INET) {
        const auto* peer = reinterpret_cast<const sockaddr_in*>(&storage);
        inet_ntop(AF_INET, &peer->sin_addr, text.data(), text.size());
        return {text.data(), ntohs(peer->sin_port)};
    }
    if (storage.ss_family == AF_INET6) {
        const auto* peer = reinterpret_cast<const sockaddr_in6*>(&storage);
        inet_ntop(AF_INET6, &peer->sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(peer->sin6_port)};
    }
    return {};
}

} // namespace

connection_watch::connection_watch(base::address caller)
    : caller_(std::move(caller)) {}

bool connection_watch::gone() {
    if (!looked_up_)
        find_socket();
    if (socket_ < 0)
        return false;
    char byte = 0;
    const auto received =
        recv(socket_, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        return false;
    if (received == 0)
        return true;
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

void connection_watch::find_socket() {
    looked_up_ = true;
    std::error_code error;
    const std::filesystem::directory_iterator descriptors(
        "/proc/self/fd", error);
    if (error)
        return;
    for (const auto& item : descriptors) {
        const int descriptor = std::atoi(item.path().filename().c_str());
        if (peer_of(descriptor) == caller_) {
            socket_ = descriptor;
            return;
        }
    }
}

} // namespace mintknot::entry
