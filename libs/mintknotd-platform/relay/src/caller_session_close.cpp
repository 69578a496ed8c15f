/// @file
/// How a caller's connection ends, and what becomes of the request on it.

#include "caller_session.hpp"

namespace mintknot::relay {

namespace {

constexpr int status_unavailable = 503;

} // namespace

std::string_view to_string(close_reason reason) noexcept {
    switch (reason) {
    case close_reason::caller_left:
        return "caller_left";
    case close_reason::connection_broken:
        return "connection_broken";
    case close_reason::broken_off:
        return "broken_off";
    case close_reason::behind_answer:
        return "behind_answer";
    case close_reason::stopped:
        return "stopped";
    }
    return "unknown";
}

void caller_session::record_close(close_reason reason) const {
    if (closed_ || idle())
        return;
    context_.metrics.count_caller_close(to_string(reason));
    const bool behind = reason == close_reason::behind_answer;
    context_.log.write(
        "caller_closed",
        {{"request", behind ? std::string{} : current_request_id()},
         {"reason", to_string(reason)},
         {"answering", answering_ && !behind},
         {"answered", static_cast<std::int64_t>(answered_)},
         {"unread_bytes", static_cast<std::int64_t>(pending_.size())},
         {"caller", base::to_string(link_->peer())}});
}

void caller_session::on_end(event::connection_end how) {
    if (closed_)
        return;
    record_close(
        how == event::connection_end::orderly
            ? close_reason::caller_left
            : close_reason::connection_broken);
    drop();
}

void caller_session::drop() {
    closed_ = true;
    timer_.stop();
    link_->abort();
    release_buffers();
    context_.loop.post([self = shared_from_this()] {
        if (self->exchange_ != nullptr)
            self->exchange_->on_caller_disconnected();
        self->tell_end();
    });
}

void caller_session::end_later() {
    context_.loop.post([self = shared_from_this()] { self->tell_end(); });
}

void caller_session::tell_end() {
    exchange_.reset();
    owner_.on_end(*this);
}

void caller_session::refuse_if_too_late() {
    if (!closed_ && answering_ && exchange_ != nullptr)
        exchange_->refuse_if_too_late();
}

void caller_session::end_at_stop() {
    if (closed_ || idle())
        return;
    if (answering_ && exchange_ != nullptr)
        exchange_->end_at_stop();
    else if (!answering_)
        refuse(
            status_unavailable, "stopping", policy::entry_refusal_retry_after);
}

void caller_session::close() {
    if (closed_)
        return;
    closed_ = true;
    timer_.stop();
    link_->close();
    release_buffers();
    end_later();
}

} // namespace mintknot::relay
