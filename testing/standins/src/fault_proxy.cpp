#include <mintknot/standins/fault_proxy.hpp>

#define ASIO_STANDALONE
#include <asio.hpp>
#include <fmt/format.h>

#include <array>
#include <future>
#include <map>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <sys/socket.h>

namespace mintknot::standins {

namespace {

using asio::ip::tcp;

constexpr std::size_t piece_bytes = 16384;
/// Enough for an accept queue with a backlog of zero, which holds one.
constexpr int queue_fillers = 2;

class connection;

/// What a link does with new connections.
enum class arrivals { accepted, refused, unanswered };

arrivals arrivals_under(const link_fault& fault) {
    switch (fault.mode) {
    case link_mode::partition:
        return arrivals::unanswered;
    case link_mode::reset_refuse:
    case link_mode::refuse_new:
        return arrivals::refused;
    default:
        return arrivals::accepted;
    }
}

/// A listener with its fault and its open connections.
struct proxy_link {
    proxy_link(asio::io_context& context, const base::address& target)
        : acceptor(context)
        , to(target) {}

    tcp::acceptor acceptor;
    base::address to;
    link_fault fault;
    std::set<std::shared_ptr<connection>> open;
    std::uint16_t port = 0;
    arrivals state = arrivals::accepted;
    /// Fill the accept queue, so that the system drops further SYNs.
    std::vector<tcp::socket> fillers;
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
                self->forward(self->up_);
                self->forward(self->down_);
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
            return break_off();
        if (link_.fault.mode == link_mode::reset ||
            link_.fault.mode == link_mode::reset_refuse)
            return reset();
        if (sender_has_reset(up_) || sender_has_reset(down_))
            return break_off();
        release(up_);
        release(down_);
    }

private:
    /// One of the two ways, with the piece that is being passed on.
    struct way {
        tcp::socket& from;
        tcp::socket& to;
        bool answer = false;
        std::array<char, piece_bytes> data{};
        std::size_t held = 0;     ///< Bytes of the piece that are held back.
        std::uint64_t passed = 0; ///< Bytes.
    };

    /// Closes without the orderly end: the other side reads an error.
    void reset() {
        asio::error_code ignored;
        const asio::socket_base::linger at_once(true, 0);
        caller_.set_option(at_once, ignored);
        server_.set_option(at_once, ignored);
        close();
    }

    /// Ends both sides as a network does that fails: with no orderly end behind
    /// a part of an answer, which would look like the end of the answer.
    void break_off() {
        if (down_.passed > 0)
            reset();
        else
            close();
    }

    /// Ends both sides as one of them has ended.
    void end(asio::error_code how) {
        if (how == asio::error::eof)
            close();
        else
            reset();
    }

    void forward(way& at) {
        at.from.async_read_some(
            asio::buffer(at.data), [self = shared_from_this(), &at](
                                       asio::error_code error, std::size_t n) {
                if (error)
                    return self->end(error);
                self->take_piece(at, n);
            });
    }

    bool holds_back(const way& at, std::size_t bytes) const {
        const link_fault& fault = link_.fault;
        if (fault.mode == link_mode::partition)
            return true;
        if (fault.mode == link_mode::stall)
            return at.answer && at.passed + bytes > fault.after_bytes;
        if (fault.mode != link_mode::silence || fault.way == silent_way::both)
            return fault.mode == link_mode::silence;
        return at.answer == (fault.way == silent_way::to_caller);
    }

    void take_piece(way& at, std::size_t bytes) {
        const link_fault& fault = link_.fault;
        if (at.answer && fault.mode == link_mode::drop_answer)
            return break_off();
        if (holds_back(at, bytes)) {
            at.held = bytes; // Nothing more is read until the fault changes.
            return;
        }
        if (fault.mode != link_mode::delay)
            return pass_on(at, bytes);
        auto late = std::make_shared<asio::steady_timer>(
            caller_.get_executor(), fault.delay);
        late->async_wait([self = shared_from_this(), late, &at,
                          bytes](asio::error_code error) {
            if (!error)
                self->pass_on(at, bytes);
        });
    }

    /// What a partition holds back is lost when its sender resets.
    static bool sender_has_reset(way& at) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(
            at.from.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return at.held > 0 && error != 0;
    }

    void release(way& at) {
        const std::size_t bytes = std::exchange(at.held, 0);
        if (bytes > 0)
            take_piece(at, bytes);
    }

    void pass_on(way& at, std::size_t bytes) {
        at.passed += bytes;
        asio::async_write(
            at.to, asio::buffer(at.data.data(), bytes),
            [self = shared_from_this(),
             &at](asio::error_code error, std::size_t) {
                if (error)
                    return self->end(error);
                self->forward(at);
            });
    }

    proxy_link& link_;
    tcp::socket caller_;
    tcp::socket server_;
    way up_{caller_, server_, false};
    way down_{server_, caller_, true};
};

/// @return an acceptor on a port of loopback; on any free one for port 0. It
/// is closed if the port cannot be bound.
tcp::acceptor
bound_acceptor(const asio::any_io_executor& executor, std::uint16_t port) {
    tcp::acceptor acceptor(executor);
    asio::error_code error;
    acceptor.open(tcp::v4(), error);
    // A process that is started later must not keep the port listening.
    if (!error)
        ::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    // So that the port can be bound again while connections are open.
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
    if (error)
        acceptor.close(error);
    return acceptor;
}

/// Replaces the listener by a socket on its port that does not listen yet.
void bind_again(proxy_link& link) {
    asio::error_code ignored;
    link.acceptor.close(ignored); // Nobody can bind the port while it listens.
    link.acceptor = bound_acceptor(link.acceptor.get_executor(), link.port);
}

void accept_next(proxy_link& link) {
    link.acceptor.async_accept(
        [&link](asio::error_code error, tcp::socket peer) {
            if (error == asio::error::operation_aborted)
                return;
            const bool closed = link.fault.mode == link_mode::cut ||
                                link.fault.mode == link_mode::reset;
            if (!error && !closed) {
                auto next = std::make_shared<connection>(std::move(peer), link);
                link.open.insert(next);
                next->start();
            }
            accept_next(link);
        });
}

void ignore_arrivals(proxy_link& link) {
    bind_again(link);
    asio::error_code ignored;
    link.acceptor.listen(0, ignored);
    const tcp::endpoint where = link.acceptor.local_endpoint(ignored);
    for (int i = 0; i < queue_fillers; ++i) {
        tcp::socket& filler =
            link.fillers.emplace_back(link.acceptor.get_executor());
        filler.async_connect(where, [](asio::error_code) {});
    }
}

void accept_arrivals(proxy_link& link) {
    bind_again(link);
    asio::error_code ignored;
    link.acceptor.listen(asio::socket_base::max_listen_connections, ignored);
    accept_next(link);
}

void apply_arrivals(proxy_link& link) {
    const arrivals wanted = arrivals_under(link.fault);
    if (wanted == link.state)
        return;
    link.fillers.clear();
    link.state = wanted;
    if (wanted == arrivals::refused)
        bind_again(link);
    else if (wanted == arrivals::unanswered)
        ignore_arrivals(link);
    else
        accept_arrivals(link);
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

    /// Runs a function over one link on the proxy's thread.
    template<class Function>
    absl::Status on_link(const std::string& name, Function function) {
        return on_thread([&]() -> absl::Status {
            const auto position = links.find(name);
            if (position == links.end())
                return absl::NotFoundError(fmt::format("no link '{}'", name));
            function(*position->second);
            return absl::OkStatus();
        });
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
        link->acceptor = bound_acceptor(impl_->context.get_executor(), 0);
        asio::error_code error;
        link->acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return absl::UnavailableError(error.message());
        const auto port = link->acceptor.local_endpoint().port();
        link->port = port;
        accept_next(*link);
        impl_->links[name] = std::move(link);
        return port;
    });
}

absl::Status
fault_proxy::retarget(const std::string& name, const base::address& to) {
    return impl_->on_link(name, [&](proxy_link& link) { link.to = to; });
}

absl::Status
fault_proxy::set_fault(const std::string& name, const link_fault& fault) {
    return impl_->on_link(name, [&](proxy_link& link) {
        link.fault = fault;
        apply_arrivals(link);
        const auto open = link.open; // Closing removes from the set.
        for (const auto& item : open)
            item->fault_changed();
    });
}

} // namespace mintknot::standins
