#include <mintknot/event/datagrams.hpp>

#include "loop_impl.hpp"

#include <fmt/format.h>

namespace mintknot::event {

using boost::asio::ip::udp;

struct datagrams::impl : std::enable_shared_from_this<datagrams::impl> {
    explicit impl(loop& owner_loop)
        : owner(owner_loop)
        , socket(owner_loop.native().context) {}

    void wait() {
        socket.async_wait(
            udp::socket::wait_read,
            [self = shared_from_this()](const boost::system::error_code& code) {
                if (code || !self->socket.is_open())
                    return;
                self->receive_all();
                self->wait();
            });
    }

    void receive_all() {
        auto& buffer = owner.native().read_buffer;
        while (socket.is_open()) {
            boost::system::error_code code;
            udp::endpoint from;
            const std::size_t count =
                socket.receive_from(boost::asio::buffer(buffer), from, 0, code);
            if (code)
                return;
            on_datagram(address_of(from), {buffer.data(), count});
        }
    }

    loop& owner;
    udp::socket socket;
    receiver on_datagram;
};

datagrams::datagrams(loop& owner)
    : impl_(std::make_shared<impl>(owner)) {}

datagrams::~datagrams() {
    close();
}

absl::Status datagrams::open(const base::address& where, receiver on_datagram) {
    boost::system::error_code code;
    const udp::endpoint endpoint = endpoint_of<udp>(where);
    impl_->socket.open(endpoint.protocol(), code);
    if (!code)
        impl_->socket.bind(endpoint, code);
    if (!code)
        impl_->socket.non_blocking(true, code);
    if (code)
        return absl::UnavailableError(fmt::format(
            "cannot bind {}: {}", base::to_string(where), code.message()));
    impl_->on_datagram = std::move(on_datagram);
    impl_->wait();
    return absl::OkStatus();
}

std::uint16_t datagrams::port() const {
    boost::system::error_code code;
    return impl_->socket.local_endpoint(code).port();
}

void datagrams::send(const base::address& to, std::string_view datagram) {
    boost::system::error_code code;
    impl_->socket.send_to(
        boost::asio::buffer(datagram.data(), datagram.size()),
        endpoint_of<udp>(to), 0, code);
}

void datagrams::close() {
    boost::system::error_code code;
    impl_->socket.close(code);
}

} // namespace mintknot::event
