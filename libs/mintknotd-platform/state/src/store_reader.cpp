#include <mintknot/state/store_reader.hpp>

#include <mintknot/state/store_version.hpp>

#include <algorithm>
#include <utility>

namespace mintknot::state {

store_reader::store_reader(
    event::loop& owner, store& source, replica& target, collection what,
    logging::line_log& log, const reader_options& options,
    std::function<double()> draw)
    : owner_(owner)
    , source_(source)
    , target_(target)
    , what_(what)
    , log_(log)
    , options_(options)
    , draw_(std::move(draw))
    , timer_(owner) {}

void store_reader::start() {
    heard_ = owner_.now();
    stopped_ = false;
    // The answer to a call from before a stop leads on by itself.
    if (!waiting_)
        next();
}

void store_reader::stop() {
    stopped_ = true;
    timer_.stop();
}

void store_reader::set_wait(base::milliseconds wait) {
    options_.wait = wait;
}

void store_reader::set_gather(base::milliseconds gather) {
    options_.gather = gather;
}

void store_reader::on_return(std::function<void()> handler) {
    on_return_ = std::move(handler);
}

void store_reader::on_position(std::function<void()> handler) {
    on_position_ = std::move(handler);
}

std::optional<std::uint64_t> store_reader::position() const {
    if (!whole_read_ || !reachable_)
        return std::nullopt;
    return seen_;
}

void store_reader::tell_position() {
    if (on_position_)
        on_position_();
}

base::milliseconds store_reader::silence() const {
    return std::chrono::duration_cast<base::milliseconds>(
        owner_.now() - heard_);
}

void store_reader::next() {
    if (stopped_)
        return;
    asked_ = owner_.now();
    waiting_ = true;
    if (reread_at_ && asked_ >= *reread_at_) {
        reread_at_.reset();
        whole_read_ = false;
    }
    if (!whole_read_)
        source_.read(
            what_, [this](const store_answer& answer) { on_read(answer); });
    else
        source_.watch(
            what_, seen_, reachable_ ? options_.wait : options_.wait_when_lost,
            [this](const store_answer& answer) { on_watch(answer); });
}

void store_reader::on_read(const store_answer& answer) {
    waiting_ = false;
    if (stopped_)
        return;
    // A read that is older than what is known already would lead back.
    if (answer.result != store_result::ok || answer.version < seen_) {
        pause(answer.result);
        return;
    }
    on_good_answer();
    const std::uint64_t old_position = seen_;
    whole_read_ = true;
    seen_ = answer.version;
    if (target_.apply_whole(
            what_, answer.documents, answer.version, "store_read"))
        note_restore(old_position);
    note_confirmed(answer);
    tell_position();
    next();
}

void store_reader::note_restore(std::uint64_t old_position) {
    reread_at_ = owner_.now() + options_.reread_delay;
    log_.write(
        "store_restored",
        {{"collection", to_string(what_)},
         {"era", static_cast<std::int64_t>(era_of(seen_))},
         {"before", static_cast<std::int64_t>(counter_of(old_position))},
         {"now", static_cast<std::int64_t>(counter_of(seen_))}});
}

void store_reader::on_watch(const store_answer& answer) {
    waiting_ = false;
    if (stopped_)
        return;
    if (answer.result == store_result::history_gone) {
        log_.write(
            "history_gone", {{"collection", to_string(what_)},
                             {"after", static_cast<std::int64_t>(seen_)}});
        on_good_answer();
        whole_read_ = false;
        next();
        return;
    }
    if (answer.result != store_result::ok) {
        pause(answer.result);
        return;
    }
    on_good_answer();
    target_.apply(what_, answer.documents, "store_watch");
    note_confirmed(answer);
    seen_ = std::max(seen_, answer.version);
    tell_position();
    const base::steady_time now = owner_.now();
    if (now - asked_ < options_.gather)
        timer_.start(asked_ + options_.gather, [this] { next(); });
    else
        next();
}

void store_reader::note_confirmed(const store_answer& answer) {
    // A store, or a reader, that is behind what is known here says nothing of
    // what has been since.
    const bool complete = answer.version >= seen_ && target_.is_current(what_);
    if (answer.confirmed && complete)
        confirmed_ =
            std::max(confirmed_.value_or(*answer.confirmed), *answer.confirmed);
}

void store_reader::on_good_answer() {
    heard_ = owner_.now();
    backoff_ = base::milliseconds{0};
    if (reachable_)
        return;
    reachable_ = true;
    log_.write("store_regained", {{"collection", to_string(what_)}});
    if (on_return_)
        on_return_();
}

void store_reader::pause(store_result why) {
    if (reachable_)
        log_.write(
            "store_lost", {{"collection", to_string(what_)},
                           {"because", to_string(why)},
                           {"silent_ms", silence().count()}});
    const bool lost = std::exchange(reachable_, false);
    backoff_ = std::clamp(
        backoff_ * 2, options_.initial_backoff, options_.max_backoff);
    const double spread = 0.5 + draw_();
    timer_.start(
        base::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(backoff_.count()) * spread)),
        [this] { next(); });
    if (lost)
        tell_position();
}

} // namespace mintknot::state
