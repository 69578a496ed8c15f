#include <mintknot/net/http_server.hpp>

#include "half_close_server.hpp"
#include "request_room.hpp"

#include <mintknot/base/log.hpp>
#include <mintknot/net/elastic_pool.hpp>

#include <absl/strings/match.h>
#include <fmt/format.h>
#include <httplib.h>
#include <sys/socket.h>

#include <thread>

namespace mintknot::net {

namespace {

constexpr std::size_t calls_per_connection = 100000;
constexpr int accept_backlog = 1024;

/// Adapts the growing pool to the library's interface.
class pool_queue : public httplib::TaskQueue {
public:
    pool_queue(std::size_t most_threads, request_room& room)
        : pool_(most_threads)
        , room_(room) {}

    void enqueue(std::function<void()> job) override {
        room_.connection_waits(base::steady_clock::now());
        pool_.submit([this, job = std::move(job)] {
            room_.connection_is_served();
            job();
        });
    }
    void shutdown() override { pool_.shutdown(); }

private:
    elastic_pool pool_;
    request_room& room_;
};

/// @return true if the body ends where the library believes it to: it takes
/// any coding but this one for a body that ends with the connection, and runs
/// the request.
bool has_known_framing(const httplib::Request& request) {
    const std::size_t codings =
        request.get_header_value_count("Transfer-Encoding");
    return codings == 0 ||
           (codings == 1 &&
            absl::EqualsIgnoreCase(
                request.get_header_value("Transfer-Encoding"), "chunked"));
}

/// Answers 400 and has the library close the connection: what follows the head
/// may be another request in disguise. The library goes on with a connection
/// after an answer unless a body could not be sent, so that this one says so
/// after its last byte.
void reject_framing(httplib::Response& response) {
    response.status = 400;
    response.set_header("Connection", "close");
    const std::string text = "unknown transfer coding\n";
    response.set_content_provider(
        text.size(), "text/plain",
        [text](std::size_t offset, std::size_t length, auto& sink) {
            sink.write(text.data() + offset, length);
            return false;
        });
}

httplib::Server::HandlerResponse
check_framing(const httplib::Request& request, httplib::Response& response) {
    if (has_known_framing(request))
        return httplib::Server::HandlerResponse::Unhandled;
    reject_framing(response);
    return httplib::Server::HandlerResponse::Handled;
}

std::unique_ptr<httplib::Server>
make_server(const http_server_options& options, request_room& room) {
    if (options.certificate_file.empty())
        return std::make_unique<half_close_server>(room);
    return std::make_unique<httplib::SSLServer>(
        options.certificate_file.c_str(), options.private_key_file.c_str());
}

} // namespace

struct http_server::impl {
    explicit impl(const http_server_options& options)
        : room(options.most_held_bytes)
        , server(make_server(options, room)) {}

    request_room room;
    std::unique_ptr<httplib::Server> server;
    int listener = -1;
    std::thread acceptor;
};

http_server::http_server(const http_server_options& options)
    : impl_(std::make_unique<impl>(options)) {
    httplib::Server& server = *impl_->server;
    const std::size_t most_threads = options.most_connections;
    server.new_task_queue = [most_threads, &room = impl_->room] {
        return new pool_queue(most_threads, room); // The library deletes it.
    };
    server.set_tcp_nodelay(true);
    // The library's own choice, SO_REUSEPORT, would let two programs share a
    // port without an error.
    server.set_socket_options([this](int socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        impl_->listener = socket;
    });
    server.set_keep_alive_max_count(calls_per_connection);
    server.set_keep_alive_timeout(options.keep_alive.count());
    server.set_read_timeout(options.read_timeout);
    server.set_payload_max_length(options.most_body_bytes);
    server.set_pre_routing_handler(check_framing);
    server.set_exception_handler([](const httplib::Request& request,
                                    httplib::Response& response,
                                    const std::exception_ptr& thrown) {
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception& error) {
            base::logger("http").error(
                "The handler of {} threw: {}", request.path, error.what());
        }
        response.status = 500;
    });
}

http_server::~http_server() {
    stop();
}

httplib::Server& http_server::routes() {
    return *impl_->server;
}

absl::StatusOr<std::uint16_t> http_server::start(const base::address& where) {
    if (!impl_->server->is_valid())
        return absl::InvalidArgumentError(
            "the certificate or the private key cannot be used");
    int port = where.port;
    bool bound = true;
    if (port == 0) {
        port = impl_->server->bind_to_any_port(where.host);
        bound = port > 0;
    } else {
        bound = impl_->server->bind_to_port(where.host, port);
    }
    if (!bound)
        return absl::UnavailableError(
            fmt::format("cannot listen on {}", base::to_string(where)));
    // The library listens with a backlog of 5: in a burst of callers most
    // would wait a second for their next try to connect.
    listen(impl_->listener, accept_backlog);
    impl_->acceptor =
        std::thread([this] { impl_->server->listen_after_bind(); });
    // stop() has no effect on a server that has not begun to accept.
    while (!impl_->server->is_running())
        std::this_thread::yield();
    return static_cast<std::uint16_t>(port);
}

void http_server::stop() {
    if (!impl_->acceptor.joinable())
        return;
    impl_->server->stop();
    impl_->acceptor.join();
}

} // namespace mintknot::net
