/// @file
/// A connection as the HTTP library reads and writes it.
#ifndef MINTKNOT_NET_SOCKET_STREAM_HPP
#define MINTKNOT_NET_SOCKET_STREAM_HPP

#include <mintknot/base/time.hpp>

#include <httplib.h>

#include <array>

namespace mintknot::net {

/// Longest waits for a socket.
struct socket_timeouts {
    base::milliseconds read;
    base::milliseconds write;
};

/// Reads through a buffer; does not own the socket. Errors of the system are
/// told as the library wants it: -1, and 0 at the end of the input.
class socket_stream final : public httplib::Stream {
public:
    socket_stream(socket_t socket, const socket_timeouts& timeouts);

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
    /// As large as the library's own; no run chose it.
    static constexpr std::size_t buffer_size = 4096;

    socket_t socket_;
    socket_timeouts timeouts_;
    std::array<char, buffer_size> buffer_{};
    std::size_t begin_ = 0; ///< Of what has been received and not been read.
    std::size_t end_ = 0;
};

} // namespace mintknot::net

#endif
