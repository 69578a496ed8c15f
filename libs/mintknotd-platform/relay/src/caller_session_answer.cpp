/// @file
/// Writing of answers to a caller's connection.

#include "caller_session.hpp"

#include <mintknot/http1/serialize.hpp>

namespace mintknot::relay {

void caller_session::send_complete(
    http1::response_head head, std::string body) {
    head.length = body.size();
    head.keep_alive = keep_alive();
    request_keep_alive_ = head.keep_alive;
    head.body = http1::framing::length;
    link_->write(http1::serialize(head));
    link_->write(std::move(body));
    answer_done();
}

void caller_session::begin(http1::response_head head) {
    if (head.body != http1::framing::length)
        head.body = minor_version_ == 0 ? http1::framing::close
                                        : http1::framing::chunked;
    framing_ = head.body;
    const bool until_close = framing_ == http1::framing::close;
    head.keep_alive = keep_alive() && !until_close;
    request_keep_alive_ = head.keep_alive;
    if (until_close)
        link_->reset_unless_closed();
    link_->write(http1::serialize(head));
}

void caller_session::data(std::string_view bytes) {
    if (bytes.empty())
        return;
    link_->write(
        framing_ == http1::framing::chunked ? http1::chunk(bytes)
                                            : std::string(bytes));
    update_claim();
}

void caller_session::end() {
    if (framing_ == http1::framing::chunked)
        link_->write(std::string(http1::last_chunk));
    answer_done();
}

void caller_session::abort() {
    if (closed_)
        return;
    record_close(close_reason::broken_off);
    closed_ = true;
    timer_.stop();
    // If the body is delimited by the end of the connection, an orderly close
    // would make it look complete.
    if (framing_ == http1::framing::close)
        link_->reset();
    else
        link_->close();
    release_buffers();
    end_later();
}

bool caller_session::congested() const {
    return link_->queued_bytes() >
           policy::max_unsent_bytes(
               context_.state.open_requests, context_.options.max_held_bytes);
}

} // namespace mintknot::relay
