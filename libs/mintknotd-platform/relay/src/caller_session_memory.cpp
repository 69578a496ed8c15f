/// @file
/// What a caller's connection holds, and how it gives way to others.

#include "caller_session.hpp"

namespace mintknot::relay {

namespace {

constexpr int status_request_timeout = 408;
constexpr int status_unavailable = 503;

} // namespace

void caller_session::update_claim() {
    claim_.set(
        policy::connection_bytes + pending_.size() + head_bytes_ +
        body_.size() + answered_bytes_ + link_->queued_bytes() +
        (large_buffer_ ? policy::large_receive_buffer_bytes : 0));
}

void caller_session::set_large_buffer(bool large) {
    if (large == large_buffer_)
        return;
    large_buffer_ = large;
    link_->set_receive_buffer(
        large ? policy::large_receive_buffer_bytes
              : policy::receive_buffer_bytes);
    update_claim();
}

bool caller_session::has_room(std::size_t more) const {
    return policy::has_room(
        held_bytes() + more, context_.state.caller_bytes + more,
        context_.options.max_caller_bytes);
}

void caller_session::enlarge_buffer() {
    if (!parser_->done() && !large_buffer_ &&
        policy::needs_large_receive_buffer(held_bytes()) &&
        has_room(policy::large_receive_buffer_bytes))
        set_large_buffer(true);
}

bool caller_session::claim_memory() {
    update_claim();
    if (has_room(0)) {
        enlarge_buffer();
        return true;
    }
    set_large_buffer(false);
    if (!has_room(0))
        owner_.make_room(*this);
    if (has_room(0))
        return true;
    refuse(
        status_unavailable, "memory_full", policy::entry_refusal_retry_after);
    return false;
}

void caller_session::release_buffers() {
    pending_ = {};
    body_ = {};
    update_claim();
}

std::optional<policy::held_connection> caller_session::may_give_way() const {
    const bool reads_request = !answering_ && !idle();
    const bool is_unread = !answering_ && link_->queued_bytes() > 0;
    if (closed_ || !(reads_request || is_unread))
        return std::nullopt;
    return policy::held_connection{held_bytes(), progress_};
}

void caller_session::give_way() {
    context_.log.write(
        "gave_way",
        {{"request", current_request_id()},
         {"held_bytes", static_cast<std::int64_t>(held_bytes())},
         {"unread_bytes", static_cast<std::int64_t>(link_->queued_bytes())},
         {"caller", base::to_string(link_->peer())}});
    // An answer behind those that are not read would not be read either.
    if (link_->queued_bytes() > 0)
        drop();
    else
        refuse(status_request_timeout, "stalled", std::nullopt);
}

} // namespace mintknot::relay
