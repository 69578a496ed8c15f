/// @file
/// A UDP socket for heartbeats.
#ifndef MINTKNOT_CLUSTER_DATAGRAM_SOCKET_HPP
#define MINTKNOT_CLUSTER_DATAGRAM_SOCKET_HPP

#include <mintknot/base/address.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mintknot::cluster {

/// Sends from any thread, receives on the thread that calls run().
class datagram_socket {
public:
    using receiver = std::function<void(std::string_view datagram)>;

    datagram_socket();
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Binds. @return Unavailable if the address is taken.
    absl::Status open(const base::address& where);

    /// @return the bound port.
    std::uint16_t port() const;

    /// Sends one datagram; losses are part of the protocol and not reported.
    void send(const base::address& where, const std::string& datagram);

    /// Hands on received datagrams until stop() is called.
    void run(const receiver& on_datagram);
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::cluster

#endif
