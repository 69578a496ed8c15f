#include <mintknot/relay/local_server.hpp>

#include "pipeline_bounds.hpp"

#include <mintknot/event/connection.hpp>
#include <mintknot/event/listener.hpp>
#include <mintknot/http1/message_parser.hpp>
#include <mintknot/http1/serialize.hpp>

#include <utility>

namespace mintknot::relay {

namespace {

constexpr std::size_t max_connections = 128;
constexpr http1::message_limits request_limits{8 * 1024, 64 * 1024};
constexpr base::milliseconds idle_timeout{30000};

} // namespace

struct local_server::impl : std::enable_shared_from_this<local_server::impl> {
    /// The state of one connection, kept alive by the connection's handlers.
    struct session {
        explicit session(event::loop& owner)
            : idle(owner) {}
        event::connection_ptr link;
        std::unique_ptr<http1::request_parser> parser;
        std::string pending;
        event::timer idle;
        bool answering = false; ///< The answer to a request is pending.
        bool reading = false;   ///< Guards against reentrancy.
    };

    impl(
        event::loop& loop, handler answer_function,
        tunnel_handler tunnel_function)
        : owner(loop)
        , listener(loop)
        , answer(std::move(answer_function))
        , on_tunnel(std::move(tunnel_function)) {}

    void accept(event::connection_ptr link) {
        if (open >= max_connections) {
            link->abort();
            return;
        }
        ++open;
        const auto state = std::make_shared<session>(owner);
        state->link = std::move(link);
        state->parser = std::make_unique<http1::request_parser>(request_limits);
        state->link->set_handlers(
            {[self = shared_from_this(), state](std::string_view bytes) {
                 state->pending.append(bytes);
                 self->process_pending(state);
             },
             [self = shared_from_this(), state](event::connection_end) {
                 self->close_session(*state);
             },
             [self = shared_from_this(), state] {
                 self->process_pending(state);
             }});
        start_idle_timer(*state);
    }

    void start_idle_timer(session& state) {
        state.idle.start(idle_timeout, [self = shared_from_this(), &state] {
            self->close_session(state);
        });
    }

    void close_session(session& state) {
        if (state.link == nullptr)
            return;
        --open;
        state.idle.stop();
        const event::connection_ptr link = std::move(state.link);
        state.link = nullptr;
        link->close();
    }

    event::connection_ptr release_connection(session& state) {
        --open;
        state.idle.stop();
        return std::exchange(state.link, nullptr);
    }

    /// Handles the received requests in order.
    void process_pending(const std::shared_ptr<session>& state) {
        if (state->reading)
            return;
        state->reading = true;
        parse_requests(state);
        state->reading = false;
        if (state->link == nullptr)
            return;
        if (state->pending.size() > max_pending_bytes)
            state->link->pause_reading();
        else
            state->link->resume_reading();
    }

    static bool may_answer(const session& state) {
        return state.link != nullptr && !state.answering &&
               state.link->queued_bytes() <= max_unread_bytes;
    }

    void parse_requests(const std::shared_ptr<session>& state) {
        while (may_answer(*state) && !state->pending.empty()) {
            const std::size_t used =
                state->parser->put(state->pending, nullptr);
            state->pending.erase(0, used);
            if (state->parser->error() != http1::parse_error::none) {
                state->link->write(
                    http1::text_response(400, {}, "malformed\n", false));
                close_session(*state);
                return;
            }
            if (state->parser->done())
                dispatch(state);
            else if (used == 0)
                return;
        }
    }

    void dispatch(const std::shared_ptr<session>& state) {
        const http1::request_head head = state->parser->head();
        if (on_tunnel && head.method == "CONNECT") {
            on_tunnel(head, release_connection(*state));
            return;
        }
        state->parser = std::make_unique<http1::request_parser>(request_limits);
        state->answering = true;
        state->idle.stop();
        const std::weak_ptr<impl> weak = weak_from_this();
        answer(head, [weak, state, head](const local_answer& result) {
            const auto self = weak.lock();
            if (self != nullptr && state->link != nullptr && state->answering)
                self->respond(state, head, result);
        });
    }

    void respond(
        const std::shared_ptr<session>& state, const http1::request_head& head,
        const local_answer& result) {
        state->answering = false;
        state->link->write(http1::text_response(
            result.status, {{"Content-Type", result.content_type}},
            head.method == "HEAD" ? "" : result.body, head.keep_alive));
        if (!head.keep_alive) {
            close_session(*state);
            return;
        }
        start_idle_timer(*state);
        process_pending(state);
    }

    event::loop& owner;
    event::listener listener;
    handler answer;
    tunnel_handler on_tunnel;
    std::size_t open = 0;
};

local_server::local_server(
    event::loop& owner, handler answer, tunnel_handler on_tunnel)
    : impl_(std::make_shared<impl>(
          owner, std::move(answer), std::move(on_tunnel))) {}

local_server::~local_server() {
    close();
}

absl::Status local_server::open(const base::address& where) {
    return impl_->listener.open(
        where, [weak = std::weak_ptr<impl>(impl_)](event::connection_ptr link) {
            if (const auto self = weak.lock())
                self->accept(std::move(link));
        });
}

std::uint16_t local_server::port() const {
    return impl_->listener.port();
}

void local_server::close() {
    impl_->listener.close();
}

local_server::handler synchronous_handler(
    std::function<local_answer(const http1::request_head&)> answer) {
    return [answer = std::move(answer)](
               const http1::request_head& head, const local_reply& reply) {
        reply(answer(head));
    };
}

} // namespace mintknot::relay
