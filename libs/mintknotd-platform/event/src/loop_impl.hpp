/// @file
/// What the classes of this library share: Asio's context and a read buffer.
#ifndef MINTKNOT_EVENT_LOOP_IMPL_HPP
#define MINTKNOT_EVENT_LOOP_IMPL_HPP

#include "late_handlers.hpp"

#include <mintknot/base/address.hpp>
#include <mintknot/event/loop.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>

#include <array>
#include <functional>

namespace mintknot::event {

inline constexpr std::size_t read_buffer_bytes = 64 * 1024;

struct loop::impl {
    boost::asio::io_context context{1};
    boost::asio::signal_set signals{context};
    late_handlers late{context};
    /// Handlers run one after another, so that one buffer serves all reads.
    std::array<char, read_buffer_bytes> read_buffer{};
    base::milliseconds delay_bound = base::milliseconds::max();
    std::function<void(base::milliseconds)> on_delay;
    base::steady_time delay_told{}; ///< Timers that were due by then are told.
    base::milliseconds longest_delay{0};    ///< Of those of a recent time.
    base::steady_time longest_delay_seen{}; ///< When `longest_delay` was.

    /// @return how late the timer fires.
    base::milliseconds note_fired(base::steady_time due);
    void note_delay(base::milliseconds delay, base::steady_time now);
    base::milliseconds recent_delay(base::steady_time now) const;
};

/// @return the endpoint, with the unspecified address for a bad host.
template<class Protocol>
typename Protocol::endpoint endpoint_of(const base::address& where) {
    boost::system::error_code code;
    const auto host = boost::asio::ip::make_address(where.host, code);
    return {host, where.port};
}

template<class Endpoint> base::address address_of(const Endpoint& endpoint) {
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace mintknot::event

#endif
