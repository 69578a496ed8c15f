/// @file
/// Opening of connections.

#include "connection_impl.hpp"

namespace mintknot::event {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// One attempt to connect; kept alive by its pending handlers.
struct connect_attempt {
    explicit connect_attempt(loop& owner_loop)
        : owner(owner_loop)
        , socket(owner_loop.native().context)
        , limit(owner_loop) {}

    void finish(connection_ptr link, connect_result result) {
        if (!on_done)
            return;
        limit.stop();
        const auto handler = std::move(on_done);
        on_done = nullptr;
        handler(std::move(link), result);
    }

    void fail(const boost::system::error_code& code) {
        finish(
            nullptr, code == asio::error::connection_refused
                         ? connect_result::refused
                         : connect_result::unreachable);
    }

    loop& owner;
    tcp::socket socket;
    timer limit;
    std::function<void(connection_ptr, connect_result)> on_done;
};

} // namespace

void connect(
    loop& owner, const base::address& where, base::milliseconds timeout,
    std::function<void(connection_ptr, connect_result)> on_done) {
    const auto attempt = std::make_shared<connect_attempt>(owner);
    attempt->on_done = std::move(on_done);
    attempt->limit.start(timeout, [attempt] {
        boost::system::error_code code;
        attempt->socket.close(code);
        attempt->finish(nullptr, connect_result::unreachable);
    });
    attempt->socket.async_connect(
        endpoint_of<tcp>(where),
        [attempt](const boost::system::error_code& code) {
            if (code || !attempt->socket.is_open()) {
                attempt->fail(code);
                return;
            }
            set_options(attempt->socket);
            bound_unacknowledged_time(attempt->socket);
            attempt->finish(
                std::make_shared<connection>(std::make_unique<connection::impl>(
                    attempt->owner, std::move(attempt->socket))),
                connect_result::opened);
        });
}

} // namespace mintknot::event
