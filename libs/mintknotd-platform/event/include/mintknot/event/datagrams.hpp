/// @file
/// A UDP socket on the event loop.
#ifndef MINTKNOT_EVENT_DATAGRAMS_HPP
#define MINTKNOT_EVENT_DATAGRAMS_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/event/loop.hpp>

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string_view>

namespace mintknot::event {

/// Sends and receives datagrams; losses are not reported.
class datagrams {
public:
    using receiver = std::function<void(
        const base::address& from, std::string_view datagram)>;

    explicit datagrams(loop& owner);
    ~datagrams();
    datagrams(const datagrams&) = delete;
    datagrams& operator=(const datagrams&) = delete;

    /// @return Unavailable if the address cannot be bound.
    absl::Status open(const base::address& where, receiver on_datagram);
    std::uint16_t port() const;
    void send(const base::address& to, std::string_view datagram);
    void close();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::event

#endif
