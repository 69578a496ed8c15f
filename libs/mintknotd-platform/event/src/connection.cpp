#include "connection_impl.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mintknot::event {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int silent_after_s = 1;
constexpr int silent_probe_s = 1;
constexpr int silent_probes = 2;
constexpr int unacknowledged_ms = 3000;
constexpr base::milliseconds linger_time{1000};
/// Longest time that a peer may take to read what is queued at a close.
constexpr base::milliseconds flush_time{10000};

void set_number(int socket, int level, int option, int value) {
    ::setsockopt(socket, level, option, &value, sizeof value);
}

/// Not by Asio's option, which Asio takes back where it destroys a socket.
void set_reset_at_end(tcp::socket& socket, bool on) {
    const linger at_once{on ? 1 : 0, 0};
    ::setsockopt(
        socket.native_handle(), SOL_SOCKET, SO_LINGER, &at_once,
        sizeof at_once);
}

} // namespace

void set_options(tcp::socket& socket) {
    const int native = socket.native_handle();
    set_number(native, IPPROTO_TCP, TCP_NODELAY, 1);
    set_number(native, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_number(native, IPPROTO_TCP, TCP_KEEPIDLE, silent_after_s);
    set_number(native, IPPROTO_TCP, TCP_KEEPINTVL, silent_probe_s);
    set_number(native, IPPROTO_TCP, TCP_KEEPCNT, silent_probes);
}

void set_receive_buffer(int socket, std::size_t bytes) {
    set_number(socket, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
}

void bound_unacknowledged_time(tcp::socket& socket) {
    set_number(
        socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
        unacknowledged_ms);
}

connection::connection(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {
    boost::system::error_code code;
    impl_->socket.non_blocking(true, code);
    const auto endpoint = impl_->socket.remote_endpoint(code);
    if (!code)
        impl_->peer = address_of(endpoint);
}

connection::~connection() = default;

void connection::set_handlers(connection_handlers handlers) {
    // A handler of the former owner may be running: let it go later.
    impl_->owner.post([former = std::move(impl_->handlers)] {});
    impl_->handlers = std::move(handlers);
    impl_->paused = false;
    read_next();
}

const base::address& connection::peer() const noexcept {
    return impl_->peer;
}

bool connection::is_open() const noexcept {
    return impl_->socket.is_open();
}

std::size_t connection::queued_bytes() const noexcept {
    return impl_->queued;
}

bool connection::wrote_everything() const noexcept {
    return impl_->queued == 0 && !impl_->dropped;
}

void connection::read_next() {
    if (impl_->reading || impl_->paused || !impl_->socket.is_open())
        return;
    impl_->reading = true;
    impl_->socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& code) {
            self->impl_->reading = false;
            if (code || self->impl_->paused || !self->impl_->socket.is_open())
                return;
            self->on_readable();
        });
}

void connection::on_readable() {
    boost::system::error_code code;
    auto& buffer = impl_->owner.native().read_buffer;
    const std::size_t count =
        impl_->socket.read_some(asio::buffer(buffer), code);
    if (code == asio::error::would_block) {
        read_next();
        return;
    }
    if (code) {
        const bool orderly = code == asio::error::eof && !impl_->reset_found;
        finish(orderly ? connection_end::orderly : connection_end::broken);
        return;
    }
    if (!impl_->ended && impl_->handlers.on_data)
        impl_->handlers.on_data({buffer.data(), count});
    read_next();
}

void connection::finish(connection_end how) {
    const bool lingering = impl_->ended;
    impl_->ended = true;
    if (lingering || how == connection_end::broken || impl_->closing) {
        impl_->linger_timer.stop();
        boost::system::error_code code;
        impl_->socket.close(code);
    }
    // The handlers may own this connection: let them go only after the call.
    const connection_handlers handlers = std::move(impl_->handlers);
    impl_->handlers = {};
    if (!lingering && handlers.on_end)
        handlers.on_end(how);
}

void connection::write(std::string bytes) {
    enqueue({std::move(bytes), nullptr});
}

void connection::write(std::shared_ptr<const std::string> bytes) {
    enqueue({{}, std::move(bytes)});
}

void connection::enqueue(write_piece piece) {
    if (piece.view().empty() || impl_->closing || !impl_->socket.is_open())
        return;
    impl_->queued += piece.view().size();
    impl_->queue.push_back(std::move(piece));
    if (!impl_->writing)
        write_next();
}

boost::system::error_code connection::impl::write_ready_bytes() {
    boost::system::error_code code;
    while (!queue.empty()) {
        const std::string_view front = queue.front().view();
        const std::size_t count = socket.write_some(
            asio::buffer(front.data() + front_sent, front.size() - front_sent),
            code);
        if (code)
            break;
        front_sent += count;
        queued -= count;
        if (front_sent < front.size())
            continue;
        queue.pop_front();
        front_sent = 0;
    }
    return code;
}

void connection::write_next() {
    const boost::system::error_code code = impl_->write_ready_bytes();
    if (code && code != asio::error::would_block) {
        // The pending read reports the end of the connection. A broken pipe
        // says only that the other side had ended it in an orderly way before.
        impl_->reset_found =
            impl_->reset_found || code != asio::error::broken_pipe;
        impl_->dropped = true;
        impl_->queue.clear();
        impl_->queued = 0;
        return;
    }
    if (impl_->queue.empty()) {
        if (impl_->closing)
            linger();
        return;
    }
    impl_->writing = true;
    impl_->socket.async_wait(
        tcp::socket::wait_write,
        [self = shared_from_this()](const boost::system::error_code& failed) {
            self->impl_->writing = false;
            if (failed || !self->impl_->socket.is_open())
                return;
            self->write_next();
            if (self->impl_->queue.empty() && !self->impl_->ended &&
                self->impl_->handlers.on_drained)
                self->impl_->handlers.on_drained();
        });
}

void connection::pause_reading() {
    impl_->paused = true;
}

void connection::set_receive_buffer(std::size_t bytes) {
    const int native = impl_->socket.native_handle();
    event::set_receive_buffer(native, bytes);
    // The window stays within what the buffer was when the connection began.
    set_number(native, IPPROTO_TCP, TCP_WINDOW_CLAMP, static_cast<int>(bytes));
}

void connection::resume_reading() {
    impl_->paused = false;
    read_next();
}

void connection::drop_handlers() {
    // One of them may be running: let them go after it.
    impl_->owner.post([dropped = std::move(impl_->handlers)] {});
    impl_->handlers = {};
}

void connection::close() {
    if (impl_->closing)
        return;
    impl_->closing = true;
    impl_->ended = true;
    drop_handlers();
    if (impl_->queue.empty())
        linger();
    else
        abort_after(flush_time);
}

void connection::abort_after(base::milliseconds delay) {
    impl_->linger_timer.start(delay, [weak = weak_from_this()] {
        if (const connection_ptr self = weak.lock())
            self->abort();
    });
}

void connection::linger() {
    set_reset_at_end(impl_->socket, false);
    boost::system::error_code code;
    impl_->socket.shutdown(tcp::socket::shutdown_send, code);
    if (code) {
        abort();
        return;
    }
    impl_->paused = false;
    read_next();
    abort_after(linger_time);
}

void connection::abort() {
    impl_->ended = true;
    impl_->closing = true;
    impl_->linger_timer.stop();
    drop_handlers();
    impl_->queue.clear();
    impl_->queued = 0;
    boost::system::error_code code;
    impl_->socket.close(code);
}

void connection::reset() {
    reset_unless_closed();
    abort();
}

void connection::reset_unless_closed() {
    if (impl_->socket.is_open())
        set_reset_at_end(impl_->socket, true);
}

} // namespace mintknot::event
