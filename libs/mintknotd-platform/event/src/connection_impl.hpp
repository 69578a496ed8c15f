/// @file
/// State of a connection, shared with whoever creates connections.
#ifndef MINTKNOT_EVENT_CONNECTION_IMPL_HPP
#define MINTKNOT_EVENT_CONNECTION_IMPL_HPP

#include "loop_impl.hpp"

#include <mintknot/event/connection.hpp>

#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace mintknot::event {

/// Bytes that wait to be written: of their own, or shared with others.
struct write_piece {
    std::string_view view() const noexcept {
        return shared == nullptr ? std::string_view(own)
                                 : std::string_view(*shared);
    }

    std::string own;
    std::shared_ptr<const std::string> shared;
};

struct connection::impl {
    impl(loop& owner_loop, boost::asio::ip::tcp::socket&& connected)
        : owner(owner_loop)
        , socket(std::move(connected))
        , linger_timer(owner_loop) {}

    /// Writes what the socket takes now. @return why it stopped, or success.
    boost::system::error_code write_ready_bytes();

    loop& owner;
    boost::asio::ip::tcp::socket socket;
    connection_handlers handlers;
    base::address peer;
    std::deque<write_piece> queue;
    std::size_t front_sent = 0; ///< Of the first entry of the queue.
    std::size_t queued = 0;
    bool reading = false; ///< A wait is pending.
    bool paused = false;
    bool writing = false; ///< A wait is pending.
    bool closing = false; ///< close() was called.
    bool ended = false;   ///< No handler runs any more.
    /// A write has found a reset. The system tells of it once only: a read
    /// finds an orderly end after that.
    bool reset_found = false;
    bool dropped = false; ///< What was queued when a write failed.
    timer linger_timer;
};

/// Sets the options that every connection has: no delay, and probes that tell
/// within some seconds that an idle peer is gone.
void set_options(boost::asio::ip::tcp::socket& socket);

/// Bounds what the system keeps of what has arrived and is not read yet.
void set_receive_buffer(int socket, std::size_t bytes);

/// Bounds the time that sent bytes may stay unacknowledged. Not for callers:
/// one that reads slowly is not gone.
void bound_unacknowledged_time(boost::asio::ip::tcp::socket& socket);

} // namespace mintknot::event

#endif
