#include <mintknot/standins/fault_proxy.hpp>

#define ASIO_STANDALONE
#include <asio.hpp>
#include <fmt/format.h>

#include <array>
#include <future>
#include <map>
#include <set>
#include <thread>

namespace mintknot::standins {

namespace {

using asio::ip::tcp;

constexpr std::size_t piece_bytes = 16384;

class connection;

/// A listener with its fault and its open connections.
struct proxy_link {
    proxy_link(asio::io_context& context, const base::address& target)
        : acceptor(context)
        , to(target) {}

    tcp::acceptor acceptor;
    base::address to;
    link_fault fault;
    std::set<std::shared_ptr<connection>> open;
};

/// One forwarded connection. All of it runs on the proxy's thread.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket caller, proxy_link& link)
        : link_(link)
        , caller_(std::move(caller))
        , server_(caller_.get_executor()) {}

    void start() {
        const auto host = asio::ip::make_address(link_.to.host);
        server_.async_connect(
            {host, link_.to.port},
            [self = shared_from_this()](asio::error_code error) {
                if (error)
                    return self->close();
                self->caller_.set_option(tcp::no_delay(true));
                self->server_.set_option(tcp::no_delay(true));
                self->forward(self->caller_, self->server_, self->up_, false);
                self->forward(self->server_, self->caller_, self->down_, true);
            });
    }

    void close() {
        asio::error_code ignored;
        caller_.close(ignored);
        server_.close(ignored);
        link_.open.erase(shared_from_this());
    }

    /// Looks at a changed fault: what was held back may go on.
    void fault_changed() {
        if (link_.fault.mode == link_mode::cut)
            return close();
        if (held_ == 0 || link_.fault.mode == link_mode::stall)
            return;
        const std::size_t bytes = held_;
        held_ = 0;
        pass_on(server_, caller_, down_, bytes, true);
    }

private:
    using buffer = std::array<char, piece_bytes>;

    void
    forward(tcp::socket& from, tcp::socket& to, buffer& data, bool answer) {
        from.async_read_some(
            asio::buffer(data),
            [self = shared_from_this(), &from, &to, &data,
             answer](asio::error_code error, std::size_t n) {
                if (error)
                    return self->close();
                self->take_piece(from, to, data, n, answer);
            });
    }

    void take_piece(
        tcp::socket& from, tcp::socket& to, buffer& data, std::size_t bytes,
        bool answer) {
        const link_fault& fault = link_.fault;
        if (answer && fault.mode == link_mode::drop_answer)
            return close();
        if (answer && fault.mode == link_mode::stall &&
            answered_ + bytes > fault.after_bytes) {
            held_ = bytes; // Nothing more is read until the fault changes.
            return;
        }
        if (fault.mode != link_mode::delay)
            return pass_on(from, to, data, bytes, answer);
        auto late = std::make_shared<asio::steady_timer>(
            caller_.get_executor(), fault.delay);
        late->async_wait([self = shared_from_this(), late, &from, &to, &data,
                          bytes, answer](asio::error_code error) {
            if (!error)
                self->pass_on(from, to, data, bytes, answer);
        });
    }

    void pass_on(
        tcp::socket& from, tcp::socket& to, buffer& data, std::size_t bytes,
        bool answer) {
        if (answer)
            answered_ += bytes;
        asio::async_write(
            to, asio::buffer(data.data(), bytes),
            [self = shared_from_this(), &from, &to, &data,
             answer](asio::error_code error, std::size_t) {
                if (error)
                    return self->close();
                self->forward(from, to, data, answer);
            });
    }

    proxy_link& link_;
    tcp::socket caller_;
    tcp::socket server_;
    buffer up_{};
    buffer down_{};
    std::uint64_t answered_ = 0;
    std::size_t held_ = 0; ///< Bytes of an answer that are held back.
};

void accept_next(proxy_link& link) {
    link.acceptor.async_accept(
        [&link](asio::error_code error, tcp::socket peer) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error && link.fault.mode != link_mode::cut) {
                auto next = std::make_shared<connection>(std::move(peer), link);
                link.open.insert(next);
                next->start();
            }
            accept_next(link);
        });
}

} // namespace

struct fault_proxy::impl {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{
        context.get_executor()};
    std::map<std::string, std::unique_ptr<proxy_link>> links;
    std::thread thread{[this] { context.run(); }};

    /// Runs a function on the proxy's thread and waits for its result.
    template<class Function> auto on_thread(Function function) {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(context, [&task] { task(); });
        return result.get();
    }
};

fault_proxy::fault_proxy()
    : impl_(std::make_unique<impl>()) {}

fault_proxy::~fault_proxy() {
    impl_->context.stop();
    impl_->thread.join();
}

absl::StatusOr<std::uint16_t>
fault_proxy::add_link(const std::string& name, const base::address& to) {
    return impl_->on_thread([&]() -> absl::StatusOr<std::uint16_t> {
        auto link = std::make_unique<proxy_link>(impl_->context, to);
        asio::error_code error;
        link->acceptor.open(tcp::v4(), error);
        if (!error)
            link->acceptor.bind({asio::ip::address_v4::loopback(), 0}, error);
        if (!error)
            link->acceptor.listen(
                asio::socket_base::max_listen_connections, error);
        if (error)
            return absl::UnavailableError(error.message());
        const auto port = link->acceptor.local_endpoint().port();
        accept_next(*link);
        impl_->links[name] = std::move(link);
        return port;
    });
}

absl::Status
fault_proxy::set_fault(const std::string& name, const link_fault& fault) {
    return impl_->on_thread([&]() -> absl::Status {
        const auto position = impl_->links.find(name);
        if (position == impl_->links.end())
            return absl::NotFoundError(fmt::format("no link '{}'", name));
        proxy_link& link = *position->second;
        link.fault = fault;
        const auto open = link.open; // Closing removes from the set.
        for (const auto& item : open)
            item->fault_changed();
        return absl::OkStatus();
    });
}

} // namespace mintknot::standins
