/// @file
/// A server of the HTTP library that answers callers which have ended their
/// own direction.
#ifndef MINTKNOT_NET_HALF_CLOSE_SERVER_HPP
#define MINTKNOT_NET_HALF_CLOSE_SERVER_HPP

#include "request_room.hpp"

#include <httplib.h>

namespace mintknot::net {

/// The library takes a caller that has ended its own direction for gone once
/// all its bytes have been read, and writes it no answer. Here a connection is
/// written to as long as its socket takes bytes.
///
/// Thread: process_and_close_socket() runs on the pool's threads, one a
/// connection.
class half_close_server final : public httplib::Server {
public:
    /// @param room must outlive the server.
    explicit half_close_server(request_room& room)
        : room_(room) {}

private:
    bool process_and_close_socket(socket_t connection) override;

    request_room& room_;
};

} // namespace mintknot::net

#endif
