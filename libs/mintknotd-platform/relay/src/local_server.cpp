#include <mintknot/relay/local_server.hpp>

#include <mintknot/event/connection.hpp>
#include <mintknot/event/listener.hpp>
#include <mintknot/http1/message_parser.hpp>
#include <mintknot/http1/serialize.hpp>

namespace mintknot::relay {

namespace {

constexpr std::size_t max_connections = 128;
constexpr http1::message_limits request_limits{8 * 1024, 64 * 1024};
constexpr base::milliseconds idle_time{30000};

} // namespace

struct local_server::impl : std::enable_shared_from_this<local_server::impl> {
    /// One connection, kept alive by the handlers that it is captured in.
    struct session {
        explicit session(event::loop& owner)
            : idle(owner) {}
        event::connection_ptr link;
        std::unique_ptr<http1::request_parser> parser;
        std::string pending;
        event::timer idle;
        bool answering = false; ///< A request waits for its answer.
        bool reading = false;   ///< read() is at work.
    };

    impl(event::loop& loop, handler answer_function)
        : owner(loop)
        , listener(loop)
        , answer(std::move(answer_function)) {}

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
                 self->read(state);
             },
             [self = shared_from_this(), state](event::connection_end) {
                 self->end(*state);
             },
             nullptr});
        watch(*state);
    }

    void watch(session& state) {
        state.idle.start(idle_time, [self = shared_from_this(), &state] {
            self->end(state);
        });
    }

    void end(session& state) {
        if (state.link == nullptr)
            return;
        --open;
        state.idle.stop();
        const event::connection_ptr link = std::move(state.link);
        state.link = nullptr;
        link->close();
    }

    /// Takes the requests that have come, one after another.
    void read(const std::shared_ptr<session>& state) {
        if (state->reading)
            return;
        state->reading = true;
        read_all(state);
        state->reading = false;
    }

    void read_all(const std::shared_ptr<session>& state) {
        while (state->link != nullptr && !state->answering &&
               !state->pending.empty()) {
            const std::size_t used =
                state->parser->put(state->pending, nullptr);
            state->pending.erase(0, used);
            if (state->parser->error() != http1::parse_error::none) {
                state->link->write(
                    http1::text_response(400, {}, "malformed\n", false));
                end(*state);
                return;
            }
            if (state->parser->done())
                ask(state);
            else if (used == 0)
                return;
        }
    }

    void ask(const std::shared_ptr<session>& state) {
        const http1::request_head head = state->parser->head();
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
            end(*state);
            return;
        }
        watch(*state);
        read(state);
    }

    event::loop& owner;
    event::listener listener;
    handler answer;
    std::size_t open = 0;
};

local_server::local_server(event::loop& owner, handler answer)
    : impl_(std::make_shared<impl>(owner, std::move(answer))) {}

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

local_server::handler
at_once(std::function<local_answer(const http1::request_head&)> answer) {
    return [answer = std::move(answer)](
               const http1::request_head& head, const local_reply& reply) {
        reply(answer(head));
    };
}

} // namespace mintknot::relay
