#include <mintknot/upstream/call.hpp>

#include "keep_alive.hpp"
#include "request_writer.hpp"

#include <mintknot/http1/message_parser.hpp>

namespace mintknot::upstream {

namespace {

/// Bytes that bring neither a head nor a body of the call's answer: interim
/// answers, answers to others, extensions of chunks. More are no answer.
constexpr std::size_t max_bytes_without_progress = 256 * 1024;
constexpr int status_switching_protocols = 101;

} // namespace

struct call::impl : std::enable_shared_from_this<call::impl> {
    impl(
        connection_pool& connections, target server, call_request what,
        const call_options& bounds, call_handlers told)
        : pool(connections)
        , where(std::move(server))
        , request(std::move(what))
        , options(bounds)
        , handlers(std::move(told)) {}

    void begin() {
        event::connection_ptr idle =
            options.on_new_connection ? nullptr : pool.take(where.id);
        if (idle != nullptr) {
            // Handlers must not run from within start().
            pool.owner().post([self = shared_from_this(), idle] {
                if (self->finished) {
                    idle->close();
                    return;
                }
                self->send_on(idle);
            });
            return;
        }
        pool.connect(
            where, options.connect_timeout,
            [self = shared_from_this()](connect_outcome outcome) {
                self->on_connected(std::move(outcome));
            });
    }

    void on_connected(connect_outcome outcome) {
        const bool refused = outcome.result == event::connect_result::refused;
        if (outcome.link == nullptr)
            ++pool.counters().failed;
        else
            ++pool.counters().opened;
        if (refused)
            ++pool.counters().refused;
        if (finished) {
            drop_unused(std::move(outcome));
            return;
        }
        if (outcome.link == nullptr) {
            fail(refused ? call_failure::refused : call_failure::unreachable);
            return;
        }
        reusable = !outcome.tunnelled;
        send_on(std::move(outcome.link));
    }

    void drop_unused(connect_outcome outcome) {
        if (outcome.link == nullptr)
            return;
        if (outcome.tunnelled)
            outcome.link->close();
        else
            pool.give(where.id, std::move(outcome.link), default_idle_time);
    }

    void send_on(event::connection_ptr open) {
        link = std::move(open);
        link->set_handlers(
            {[self = shared_from_this()](std::string_view bytes) {
                 self->on_data(bytes);
             },
             [self = shared_from_this()](event::connection_end how) {
                 self->on_end(how);
             },
             nullptr});
        new_parser();
        was_sent = true;
        sent_at = pool.owner().now();
        write_request(*link, request);
    }

    void new_parser() {
        http1::message_limits limits;
        limits.header_bytes = options.answer_header_bytes;
        limits.body_bytes = options.answer_body_bytes;
        parser = std::make_unique<http1::response_parser>(
            limits, request.head.method == "HEAD");
        head_told = false;
        skipping = false;
    }

    void on_data(std::string_view bytes) {
        // The handlers may destroy the call.
        const std::shared_ptr<impl> self = shared_from_this();
        pool.note_heard(where.id);
        pending.append(bytes);
        without_progress += bytes.size();
        while (!finished && !pending.empty()) {
            const std::size_t used = parser->put(
                pending, [this](std::string_view piece) { on_body(piece); });
            if (finished)
                return;
            pending.erase(0, used);
            if (!note_head())
                return;
            flush_body();
            if (finished)
                return;
            if (parser->error() != http1::parse_error::none) {
                fail(call_failure::bad_answer);
                return;
            }
            if (parser->done()) {
                if (!on_message_end())
                    return;
            } else if (used == 0) {
                break;
            }
        }
        if (!finished && without_progress > max_bytes_without_progress)
            fail(call_failure::bad_answer);
    }

    /// @return false if the call has finished.
    bool note_head() {
        if (head_told || !parser->has_head())
            return true;
        head_told = true;
        http1::response_head& head = parser->head();
        pool.tell_answer(where.id, head);
        // No request asks for another protocol: what follows is no answer.
        if (head.status == status_switching_protocols) {
            fail(call_failure::bad_answer);
            return false;
        }
        const bool informational = head.status < 200;
        if (informational || (handlers.belongs && !handlers.belongs(head))) {
            skipping = true;
            body.clear();
            reusable = reusable && informational;
            return true;
        }
        without_progress = 0;
        pool.note_answered(where.id, sent_at);
        handlers.on_head(head);
        return !finished;
    }

    void on_body(std::string_view piece) { body.append(piece); }

    void flush_body() {
        if (body.empty() || !head_told)
            return;
        const std::string piece = std::move(body);
        body.clear();
        if (skipping)
            return;
        without_progress = 0;
        handlers.on_body(piece);
    }

    /// @return true if another answer is waited for.
    bool on_message_end() {
        if (skipping) {
            if (!parser->head().keep_alive) {
                fail(call_failure::ended);
                return false;
            }
            new_parser();
            return true;
        }
        succeed();
        return false;
    }

    void succeed() {
        finished = true;
        const bool keep = reusable && pending.empty() &&
                          parser->head().keep_alive &&
                          link->queued_bytes() == 0;
        if (keep)
            pool.give(where.id, std::move(link), idle_time(parser->head()));
        else
            link->abort();
        link = nullptr;
        const call_handlers last = std::move(handlers);
        last.on_done();
    }

    void on_end(event::connection_end how) {
        if (finished)
            return;
        const std::shared_ptr<impl> self = shared_from_this();
        // A sound server that answers early goes on reading the request.
        const bool whole =
            how == event::connection_end::orderly && link->wrote_everything();
        if (whole && head_told && !skipping) {
            parser->put_end();
            if (parser->done()) {
                succeed();
                return;
            }
        }
        fail(call_failure::ended);
    }

    /// With a reset: what the kernel still holds of a request that was given up
    /// is not to reach its server when the way there is free again.
    void drop_link() {
        if (link != nullptr)
            link->reset();
        link = nullptr;
    }

    void fail(call_failure why) {
        finished = true;
        drop_link();
        const call_handlers last = std::move(handlers);
        last.on_failure(why);
    }

    void cancel() {
        if (finished)
            return;
        finished = true;
        drop_link();
        // A handler may be running: let the closures go after it.
        pool.owner().post([dropped = std::move(handlers)] {});
        handlers = {};
    }

    connection_pool& pool;
    target where;
    call_request request;
    call_options options;
    call_handlers handlers;
    event::connection_ptr link;
    std::unique_ptr<http1::response_parser> parser;
    std::string pending; ///< Received, not yet parsed.
    std::string body;    ///< Parsed, not yet handed on.
    /// Received since the last part of the answer was handed on.
    std::size_t without_progress = 0;
    bool head_told = false;
    bool skipping = false; ///< The answer at hand is not for this call.
    bool reusable = true;
    bool was_sent = false;
    base::steady_time sent_at{};
    bool finished = false;
};

call::call(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

call::~call() {
    impl_->cancel();
}

std::unique_ptr<call> call::start(
    connection_pool& pool, const target& where, call_request request,
    const call_options& options, call_handlers handlers) {
    auto state = std::make_shared<impl>(
        pool, where, std::move(request), options, std::move(handlers));
    std::unique_ptr<call> result(new call(state));
    state->begin();
    return result;
}

void call::pause() {
    if (impl_->link != nullptr)
        impl_->link->pause_reading();
}

void call::resume() {
    if (impl_->link != nullptr)
        impl_->link->resume_reading();
}

bool call::sent() const noexcept {
    return impl_->was_sent;
}

} // namespace mintknot::upstream
