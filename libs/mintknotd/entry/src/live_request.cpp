#include <mintknot/entry/live_request.hpp>

namespace mintknot::entry {

live_request::live_request(completion_call call, std::uint64_t first_offset)
    : call_(std::move(call))
    , id_(base::to_string(call_.id)) {
    state_.first_offset = first_offset;
    state_.received_at = base::steady_clock::now();
    unread_since_ = state_.received_at;
}

request_state live_request::summary() const {
    const std::lock_guard lock(mutex_);
    request_state copy;
    copy.phase = state_.phase;
    copy.run = state_.run;
    copy.attempt = state_.attempt;
    copy.finish = state_.finish;
    copy.failed = state_.failed;
    copy.received_at = state_.received_at;
    copy.first_token_at = state_.first_token_at;
    copy.finished_at = state_.finished_at;
    return copy;
}

std::uint64_t live_request::tokens() const {
    const std::lock_guard lock(mutex_);
    return next_offset(state_);
}

std::string live_request::text() const {
    const std::lock_guard lock(mutex_);
    std::string all;
    for (const std::string& token : state_.tokens)
        all += token;
    return all;
}

bool live_request::ended() const {
    const std::lock_guard lock(mutex_);
    return state_.phase == request_phase::finished;
}

void live_request::begin_attempt(const std::string& attempt) {
    const std::lock_guard lock(mutex_);
    entry::begin_attempt(state_, attempt);
}

void live_request::enter(request_phase phase, base::verdict run) {
    const std::lock_guard lock(mutex_);
    entry::enter(state_, phase, run);
}

bool live_request::accept_token(
    const std::string& attempt, std::uint64_t offset, std::string text) {
    const std::lock_guard lock(mutex_);
    const bool taken = entry::accept_token(
        state_, attempt, offset, std::move(text), base::steady_clock::now());
    if (taken)
        changed_.notify_all();
    return taken;
}

bool live_request::complete(
    const std::string& attempt, engine::finish_reason finish) {
    const std::lock_guard lock(mutex_);
    const bool done =
        entry::complete(state_, attempt, finish, base::steady_clock::now());
    changed_.notify_all();
    return done;
}

bool live_request::fail(base::refusal why) {
    const std::lock_guard lock(mutex_);
    const bool done =
        entry::fail(state_, std::move(why), base::steady_clock::now());
    changed_.notify_all();
    return done;
}

answer_piece
live_request::wait_from(std::uint64_t offset, base::milliseconds longest) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, longest, [&] {
        return next_offset(state_) > offset ||
               state_.phase == request_phase::finished;
    });
    answer_piece piece;
    if (offset < next_offset(state_)) {
        const std::uint64_t skipped = offset - state_.first_offset;
        piece.tokens.assign(
            state_.tokens.begin() + static_cast<std::ptrdiff_t>(skipped),
            state_.tokens.end());
    }
    piece.ended = state_.phase == request_phase::finished;
    piece.finish = state_.finish;
    piece.failed = state_.failed;
    return piece;
}

void live_request::add_reader() {
    const std::lock_guard lock(mutex_);
    ++readers_;
}

void live_request::remove_reader() {
    const std::lock_guard lock(mutex_);
    --readers_;
    unread_since_ = base::steady_clock::now();
}

base::milliseconds live_request::unread_for() const {
    const std::lock_guard lock(mutex_);
    if (readers_ > 0)
        return base::milliseconds{0};
    return std::chrono::duration_cast<base::milliseconds>(
        base::steady_clock::now() - unread_since_);
}

void live_request::cancel(base::reason why) {
    std::shared_ptr<net::call_canceller> running;
    {
        const std::lock_guard lock(mutex_);
        if (cancelled_ == base::reason::none)
            cancelled_ = why;
        running = canceller_;
    }
    if (running)
        running->cancel();
}

base::reason live_request::cancelled() const {
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

std::shared_ptr<net::call_canceller> live_request::next_canceller() {
    const std::lock_guard lock(mutex_);
    canceller_ = std::make_shared<net::call_canceller>();
    if (cancelled_ != base::reason::none)
        canceller_->cancel();
    return canceller_;
}

} // namespace mintknot::entry
