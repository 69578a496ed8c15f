#include <mintknot/event/listener.hpp>

#include "connection_impl.hpp"

#include <fmt/format.h>

#include <optional>

namespace mintknot::event {

using boost::asio::ip::tcp;

namespace {

constexpr int backlog = 1024;
/// Several connections that wait are accepted in one turn of the loop, so that
/// they need not wait for a turn each; more would make the turn long.
constexpr int max_accepted_at_once = 16;
/// Pause after a failed accept, which mostly means too few descriptors.
constexpr base::milliseconds accept_pause{20};

} // namespace

struct listener::impl : std::enable_shared_from_this<listener::impl> {
    explicit impl(loop& owner_loop)
        : owner(owner_loop)
        , acceptor(owner_loop.native().context)
        , pause(owner_loop) {}

    void accept_next() {
        acceptor.async_wait(
            tcp::acceptor::wait_read,
            [self = shared_from_this()](const boost::system::error_code& code) {
                // It may have been opened again meanwhile.
                if (code == boost::asio::error::operation_aborted)
                    return;
                self->accept_waiting(code);
            });
    }

    void accept_waiting(boost::system::error_code code) {
        for (int count = 0; !code && count < max_accepted_at_once; ++count)
            code = accept_one();
        if (!acceptor.is_open())
            return;
        if (!code || code == boost::asio::error::would_block)
            accept_next();
        else
            pause.start(accept_pause, [this] { accept_next(); });
    }

    boost::system::error_code accept_one() {
        boost::system::error_code code;
        tcp::socket socket(owner.native().context);
        acceptor.accept(socket, code);
        if (code)
            return code;
        set_options(socket);
        on_connection(std::make_shared<connection>(
            std::make_unique<connection::impl>(owner, std::move(socket))));
        return code;
    }

    loop& owner;
    tcp::acceptor acceptor;
    timer pause;
    std::function<void(connection_ptr)> on_connection;
    std::optional<std::size_t> receive_buffer;
};

listener::listener(loop& owner)
    : impl_(std::make_shared<impl>(owner)) {}

listener::~listener() {
    close();
}

absl::Status listener::open(
    const base::address& where,
    std::function<void(connection_ptr)> on_connection) {
    boost::system::error_code code;
    const tcp::endpoint endpoint = endpoint_of<tcp>(where);
    impl_->acceptor.open(endpoint.protocol(), code);
    if (!code)
        impl_->acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    // Connections take it from here; later it would be too late for those that
    // come before they are accepted.
    if (!code && impl_->receive_buffer)
        event::set_receive_buffer(
            impl_->acceptor.native_handle(), *impl_->receive_buffer);
    if (!code)
        impl_->acceptor.bind(endpoint, code);
    if (!code)
        impl_->acceptor.listen(backlog, code);
    if (!code)
        impl_->acceptor.non_blocking(true, code);
    if (code) {
        close();
        return absl::UnavailableError(fmt::format(
            "cannot listen on {}: {}", base::to_string(where), code.message()));
    }
    impl_->on_connection = std::move(on_connection);
    impl_->accept_next();
    return absl::OkStatus();
}

void listener::set_receive_buffer(std::size_t bytes) {
    impl_->receive_buffer = bytes;
}

std::uint16_t listener::port() const {
    boost::system::error_code code;
    return impl_->acceptor.local_endpoint(code).port();
}

void listener::close() {
    boost::system::error_code code;
    impl_->pause.stop();
    impl_->acceptor.close(code);
}

} // namespace mintknot::event
