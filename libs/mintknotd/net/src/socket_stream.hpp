/// @file
/// A connection as the HTTP library reads and writes it.
#ifndef MINTKNOT_NET_SOCKET_STREAM_HPP
#define MINTKNOT_NET_SOCKET_STREAM_HPP

#include "request_room.hpp"

#include <mintknot/base/time.hpp>

#include <httplib.h>

#include <array>

namespace mintknot::net {

/// Longest waits for a socket.
struct socket_timeouts {
    base::milliseconds read;
    base::milliseconds write;
};

/// How far a request has been read.
enum class read_state {
    reading,
    no_room, ///< It holds more than there is room for.
    gave_way ///< It had come to a stop while others waited.
};

/// Reads through a buffer, and counts what is read as held by the request until
/// its end; does not own the socket. Errors of the system are
/// told as the library wants it: -1, and 0 at the end of the input. Once a
/// request may not go on, nothing of it is read any more and what the library
/// answers is dropped: the caller gets write_refusal().
class socket_stream final : public httplib::Stream {
public:
    /// @param room must outlive the stream.
    socket_stream(
        socket_t socket, const socket_timeouts& timeouts, request_room& room);
    ~socket_stream() override { end_request(); }
    socket_stream(const socket_stream&) = delete;
    socket_stream& operator=(const socket_stream&) = delete;

    /// Takes back what the request before has held.
    void end_request();
    /// Answers a request that may not go on. @return false if this one may.
    bool write_refusal();

    /// @return true once there are bytes, or the end of the input.
    bool has_input_within(base::milliseconds wait) const;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* to, std::size_t size) override;
    ssize_t write(const char* from, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return socket_; }

private:
    bool wait_for_input();
    bool gives_way() const;
    bool take_room(std::size_t bytes);
    void drop_input();
    ssize_t write_bytes(const char* from, std::size_t size);

    /// As large as the library's own; no run chose it.
    static constexpr std::size_t buffer_size = 4096;

    socket_t socket_;
    socket_timeouts timeouts_;
    std::array<char, buffer_size> buffer_{};
    std::size_t begin_ = 0; ///< Of what has been received and not been read.
    std::size_t end_ = 0;
    request_room& room_;
    read_state state_ = read_state::reading;
    std::size_t held_ = 0; ///< Received since the request began.
    base::steady_time began_{};
    base::steady_time last_received_{};
};

} // namespace mintknot::net

#endif
