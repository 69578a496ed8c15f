#include "socket_stream.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string>
#include <string_view>

namespace mintknot::net {

namespace {

/// How often a connection that waits for bytes looks whether others want for
/// room.
constexpr base::milliseconds room_poll{100};

/// How long what still comes behind a refusal is read, so that it does not turn
/// the close into a reset.
constexpr base::milliseconds linger_time{500};

std::string refusal_text(
    std::string_view status, std::string_view fields, std::string_view body) {
    return fmt::format(
        "HTTP/1.1 {}\r\nContent-Type: application/json\r\n"
        "Content-Length: {}\r\n{}X-Run-Verdict: not_run\r\n"
        "Connection: close\r\n\r\n{}",
        status, body.size(), fields, body);
}

std::string refusal_of(read_state state) {
    if (state == read_state::no_room)
        return refusal_text(
            "503 Service Unavailable", "Retry-After: 1\r\n",
            R"({"error": {"code": "memory_full", "message": )"
            R"("no room for the request", "verdict": "not_run", )"
            R"("retry_after_ms": 1000}})");
    return refusal_text(
        "408 Request Timeout", "",
        R"({"error": {"code": "stalled", "message": )"
        R"("others wait for room", "verdict": "not_run"}})");
}

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

socket_stream::socket_stream(
    socket_t socket, const socket_timeouts& timeouts, request_room& room)
    : socket_(socket)
    , timeouts_(timeouts)
    , room_(room) {}

void socket_stream::end_request() {
    room_.give_back(held_);
    held_ = 0;
}

bool socket_stream::take_room(std::size_t bytes) {
    last_received_ = base::steady_clock::now();
    if (held_ == 0)
        began_ = last_received_;
    if (!room_.take(held_, bytes, last_received_)) {
        state_ = read_state::no_room;
        return false;
    }
    held_ += bytes;
    return true;
}

bool socket_stream::gives_way() const {
    const base::steady_time now = base::steady_clock::now();
    return held_ > 0 && room_.is_short(now) &&
           net::gives_way(
               {std::chrono::floor<base::milliseconds>(now - last_received_),
                std::chrono::floor<base::milliseconds>(now - began_)});
}

bool socket_stream::wait_for_input() {
    for (base::milliseconds waited{0}; waited < timeouts_.read;
         waited += room_poll) {
        if (has_input_within(std::min(room_poll, timeouts_.read - waited)))
            return true;
        if (gives_way()) {
            state_ = read_state::gave_way;
            return false;
        }
    }
    return false;
}

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
    if (state_ != read_state::reading)
        return -1;
    if (begin_ == end_) {
        if (!wait_for_input())
            return -1;
        const ssize_t received = uninterrupted(
            [this] { return recv(socket_, buffer_.data(), buffer_size, 0); });
        if (received <= 0)
            return received;
        if (!take_room(static_cast<std::size_t>(received)))
            return -1;
        begin_ = 0;
        end_ = static_cast<std::size_t>(received);
    }
    const std::size_t taken = std::min(size, end_ - begin_);
    std::memcpy(to, buffer_.data() + begin_, taken);
    begin_ += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t socket_stream::write(const char* from, std::size_t size) {
    if (state_ != read_state::reading)
        return static_cast<ssize_t>(size);
    return write_bytes(from, size);
}

bool socket_stream::write_refusal() {
    if (state_ == read_state::reading)
        return false;
    const std::string text = refusal_of(state_);
    // Whoever cannot be told sees the connection end.
    static_cast<void>(write_bytes(text.data(), text.size()));
    shutdown(socket_, SHUT_WR);
    drop_input();
    return true;
}

void socket_stream::drop_input() {
    const base::steady_time end = base::steady_clock::now() + linger_time;
    while (base::steady_clock::now() < end && has_input_within(room_poll)) {
        begin_ = end_;
        if (uninterrupted([this] {
                return recv(socket_, buffer_.data(), buffer_size, 0);
            }) <= 0)
            return;
    }
}

ssize_t socket_stream::write_bytes(const char* from, std::size_t size) {
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
