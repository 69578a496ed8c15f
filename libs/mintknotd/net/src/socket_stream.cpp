#include "socket_stream.hpp"

#include <arpa/inet.h>
#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace mintknot::net {

namespace {

bool becomes(socket_t socket, short event, base::milliseconds wait) {
    pollfd watched{socket, event, 0};
    int found = -1;
    do {
        found = poll(&watched, 1, static_cast<int>(wait.count()));
    } while (found < 0 && errno == EINTR);
    return found > 0;
}

/// Repeats a call of the system that a signal has interrupted.
template<typename Call> ssize_t uninterrupted(Call call) {
    ssize_t done = -1;
    do {
        done = call();
    } while (done < 0 && errno == EINTR);
    return done;
}

using name_function = int (*)(int, sockaddr*, socklen_t*);

/// Leaves both as they are where the socket has no such end.
void look_up(
    name_function name_of, socket_t socket, std::string& ip, int& port) {
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    if (name_of(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        return;
    char host[NI_MAXHOST];
    char service[NI_MAXSERV];
    if (getnameinfo(
            reinterpret_cast<sockaddr*>(&address), length, host, sizeof host,
            service, sizeof service, NI_NUMERICHOST | NI_NUMERICSERV) != 0)
        return;
    ip = host;
    port = std::atoi(service);
}

} // namespace

socket_stream::socket_stream(socket_t socket, const socket_timeouts& timeouts)
    : socket_(socket)
    , timeouts_(timeouts) {}

bool socket_stream::has_input_within(base::milliseconds wait) const {
    return begin_ < end_ || becomes(socket_, POLLIN, wait);
}

bool socket_stream::is_readable() const {
    return has_input_within(timeouts_.read);
}

bool socket_stream::is_writable() const {
    return becomes(socket_, POLLOUT, timeouts_.write);
}

ssize_t socket_stream::read(char* to, std::size_t size) {
    if (begin_ == end_) {
        if (!is_readable())
            return -1;
        const ssize_t received = uninterrupted(
            [this] { return recv(socket_, buffer_.data(), buffer_size, 0); });
        if (received <= 0)
            return received;
        begin_ = 0;
        end_ = static_cast<std::size_t>(received);
    }
    const std::size_t taken = std::min(size, end_ - begin_);
    std::memcpy(to, buffer_.data() + begin_, taken);
    begin_ += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t socket_stream::write(const char* from, std::size_t size) {
    if (!is_writable())
        return -1;
    return uninterrupted(
        [&] { return send(socket_, from, size, MSG_NOSIGNAL); });
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
    look_up(getpeername, socket_, ip, port);
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const {
    look_up(getsockname, socket_, ip, port);
}

} // namespace mintknot::net
