#include <mintknot/cluster/datagram_socket.hpp>

#define ASIO_STANDALONE
#include <asio.hpp>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <mutex>

namespace mintknot::cluster {

namespace {

constexpr std::size_t largest_datagram = 65536;

} // namespace

struct datagram_socket::impl {
    asio::io_context context;
    asio::ip::udp::socket socket{context};
    std::mutex send_mutex;
    std::array<char, largest_datagram> buffer{};
    asio::ip::udp::endpoint from;

    void receive(const receiver& on_datagram) {
        socket.async_receive_from(
            asio::buffer(buffer), from,
            [this, &on_datagram](asio::error_code error, std::size_t length) {
                if (error == asio::error::operation_aborted)
                    return;
                // Other errors concern one datagram (a peer that is not there).
                if (!error)
                    on_datagram(std::string_view(buffer.data(), length));
                receive(on_datagram);
            });
    }
};

datagram_socket::datagram_socket()
    : impl_(std::make_unique<impl>()) {}
datagram_socket::~datagram_socket() = default;

absl::Status datagram_socket::open(const base::address& where) {
    asio::error_code error;
    const auto host = asio::ip::make_address(where.host, error);
    if (error)
        return absl::InvalidArgumentError(
            fmt::format("'{}' is not an IP number", where.host));
    const asio::ip::udp::endpoint endpoint(host, where.port);
    impl_->socket.open(endpoint.protocol(), error);
    if (!error)
        impl_->socket.bind(endpoint, error);
    if (error)
        return absl::UnavailableError(fmt::format(
            "cannot receive on {}: {}", base::to_string(where),
            error.message()));
    return absl::OkStatus();
}

std::uint16_t datagram_socket::port() const {
    return impl_->socket.local_endpoint().port();
}

void datagram_socket::send(
    const base::address& where, const std::string& datagram) {
    asio::error_code error;
    const auto host = asio::ip::make_address(where.host, error);
    if (error)
        return;
    const std::lock_guard lock(impl_->send_mutex);
    impl_->socket.send_to(asio::buffer(datagram), {host, where.port}, 0, error);
}

void datagram_socket::run(const receiver& on_datagram) {
    impl_->context.restart();
    impl_->receive(on_datagram);
    impl_->context.run();
}

void datagram_socket::stop() {
    // The socket stays open for last words; only receiving ends.
    impl_->context.stop();
}

} // namespace mintknot::cluster
