#include "half_close_server.hpp"

#include "socket_stream.hpp"

#include <sys/socket.h>
#include <unistd.h>

namespace mintknot::net {

namespace {

/// How often an idle connection looks whether the server stops.
constexpr base::milliseconds stop_poll{100};

} // namespace

bool half_close_server::process_and_close_socket(socket_t connection) {
    using std::chrono::microseconds;
    using std::chrono::seconds;
    socket_stream stream(
        connection,
        {std::chrono::ceil<base::milliseconds>(
             seconds(read_timeout_sec_) + microseconds(read_timeout_usec_)),
         std::chrono::ceil<base::milliseconds>(
             seconds(write_timeout_sec_) + microseconds(write_timeout_usec_))},
        room_);
    const base::milliseconds keep_alive = seconds(keep_alive_timeout_sec_);
    const auto next_call_comes = [&] {
        for (base::milliseconds idle{0}; idle < keep_alive; idle += stop_poll) {
            if (svr_sock_ == INVALID_SOCKET)
                return false;
            if (stream.has_input_within(stop_poll))
                return true;
            if (room_.connections_wait(base::steady_clock::now()))
                return false;
        }
        return false;
    };
    bool served = true;
    for (std::size_t left = keep_alive_max_count_; left > 0; --left) {
        bool closed = false;
        served = next_call_comes() &&
                 process_request(stream, left == 1, closed, nullptr);
        stream.end_request();
        if (stream.write_refusal() || !served || closed)
            break;
    }
    shutdown(connection, SHUT_RDWR);
    close(connection);
    return served;
}

} // namespace mintknot::net
