#include "shared_store.hpp"

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>

namespace mintknot::runtime {

namespace {

/// How long a reader holds a watch. A reader may be cut off from the store
/// without having noticed, so another one is asked after this time.
constexpr base::milliseconds reader_wait{1000};
/// Number of readers that one instance uses, in turn.
constexpr std::size_t readers_asked = 2;
/// Time allowed for an answer beyond the wait.
constexpr base::milliseconds answer_slack{400};
/// How long a reader that failed is skipped.
constexpr base::milliseconds reader_backoff{2000};
/// How long the store holds a watch for an overdue confirmation.
constexpr base::milliseconds overdue_wait{50};
/// Between two such watches of one instance: 88 instances send 176 a second,
/// and each call to the store is billed.
constexpr base::milliseconds overdue_interval{500};
/// How long a full read is tried at readers: a reader needs 0.5 s for 10,000
/// rows with one core and about 4 s with 0.12 of a core (calculated).
constexpr base::milliseconds reader_read_time{6000};
/// Time allowed for the answer to a full read: 4 MB over 20 Mbit/s.
constexpr base::milliseconds full_answer_time{3000};
const upstream::call_options answer_bounds{
    .answer_body_bytes = state::max_answer_bytes};
constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;

} // namespace

/// A watch or a full read that is sent to readers.
struct shared_store::peer_watch {
    explicit peer_watch(event::loop& owner)
        : limit(owner) {}
    state::change_request request;
    bool full_read = false; ///< A full read, not changes after a version.
    base::milliseconds store_wait{0}; ///< Wait if the store has to be asked.
    state::store_handler on_answer;
    bool store_is_fallback = true; ///< See policy::store_access.
    /// Readers still to be asked, the next one last.
    std::vector<std::string> remaining;
    std::unique_ptr<upstream::call> call;
    base::steady_time asked; ///< When the current reader was asked.
    event::timer limit;
    int status = 0;
    std::string body;
};

shared_store::shared_store(
    event::loop& owner, state::store& source, upstream::connection_pool& pool,
    logging::line_log& log, shared_store_options options)
    : owner_(owner)
    , source_(source)
    , pool_(pool)
    , log_(log)
    , options_(std::move(options)) {}

shared_store::~shared_store() = default;

void shared_store::read(
    state::collection what, state::store_handler on_answer) {
    const policy::store_access access = options_.access();
    if (!reads_from_readers(what, access)) {
        source_.read(what, std::move(on_answer));
        return;
    }
    auto entry = std::make_unique<peer_watch>(owner_);
    entry->request = {what, 0, base::milliseconds{0}};
    entry->full_read = true;
    entry->on_answer = std::move(on_answer);
    entry->remaining = trusted_readers(access.sources);
    start_watch(std::move(entry));
}

bool shared_store::reads_from_readers(
    state::collection what, const policy::store_access& access) {
    const bool can_share = access.full_reads_from_sources &&
                           what != state::collection::leases &&
                           !access.sources.empty() && !is_reader(access);
    if (!can_share) {
        reading_since_.erase(what);
        return false;
    }
    const base::steady_time now = owner_.now();
    const auto since = reading_since_.emplace(what, now).first;
    if (now - since->second < reader_read_time)
        return true;
    reading_since_.erase(since);
    return false;
}

bool shared_store::is_reader(const policy::store_access& access) const {
    return std::find(
               access.sources.begin(), access.sources.end(),
               options_.own_host) != access.sources.end();
}

void shared_store::write(
    state::collection what, const std::string& key, std::uint64_t expected,
    const std::string& text, state::write_handler on_answer) {
    source_.write(what, key, expected, text, std::move(on_answer));
}

void shared_store::watch(
    state::collection what, std::uint64_t after, base::milliseconds wait,
    state::store_handler on_answer) {
    const policy::store_access access = options_.access();
    std::vector<std::string> readers;
    const bool direct = skips_readers(what);
    if (!direct)
        readers = trusted_readers(access.sources);
    if (!readers.empty()) {
        const auto turn =
            static_cast<std::ptrdiff_t>(++watch_count_[what] % readers.size());
        std::rotate(readers.begin(), readers.begin() + turn, readers.end());
    }
    auto entry = std::make_unique<peer_watch>(owner_);
    entry->request = {what, after, reader_wait};
    entry->store_wait = wait;
    entry->on_answer = std::move(on_answer);
    entry->store_is_fallback = access.reads_store_as_fallback || direct;
    entry->remaining = std::move(readers);
    start_watch(std::move(entry));
}

void shared_store::start_watch(std::unique_ptr<peer_watch> entry) {
    const std::uint64_t number = ++last_number_;
    open_.emplace(number, std::move(entry));
    ask_next(number);
}

std::optional<base::steady_time>
shared_store::overdue_from(state::collection what) const {
    if (!options_.overdue_from)
        return std::nullopt;
    return options_.overdue_from(what);
}

bool shared_store::overdue(state::collection what) const {
    const auto from = overdue_from(what);
    return from && owner_.now() >= *from;
}

bool shared_store::skips_readers(state::collection what) {
    if (!overdue(what))
        return false;
    const base::steady_time now = owner_.now();
    const auto asked = last_direct_watch_.find(what);
    if (asked != last_direct_watch_.end() &&
        now - asked->second < overdue_interval)
        return false;
    last_direct_watch_[what] = now;
    return true;
}

base::milliseconds shared_store::reader_timeout(const peer_watch& entry) const {
    if (entry.full_read)
        return full_answer_time;
    const base::milliseconds usual = entry.request.wait + answer_slack;
    const auto from = overdue_from(entry.request.what);
    if (!from)
        return usual;
    base::steady_time next = *from;
    const auto asked = last_direct_watch_.find(entry.request.what);
    if (asked != last_direct_watch_.end())
        next = std::max(next, asked->second + overdue_interval);
    return std::min(
        usual, std::chrono::ceil<base::milliseconds>(next - owner_.now()));
}

bool shared_store::reader_reported_recently() const {
    return unreachable_reported_at_ != base::steady_time{} &&
           owner_.now() - unreachable_reported_at_ <= reader_backoff;
}

std::vector<std::string>
shared_store::trusted_readers(std::vector<std::string> hosts) const {
    if (is_reader({hosts}))
        return {};
    std::erase_if(hosts, [this](const std::string& host) {
        const auto found = backed_off_until_.find(host);
        return found != backed_off_until_.end() && found->second > owner_.now();
    });
    // Different instances use different readers, which spreads the load.
    return base::rendezvous_first(options_.own_host, hosts, readers_asked);
}

void shared_store::ask_next(std::uint64_t number) {
    peer_watch& entry = *open_.at(number);
    if (entry.remaining.empty()) {
        ask_store(number);
        return;
    }
    const std::string host = entry.remaining.back();
    entry.remaining.pop_back();
    entry.status = 0;
    entry.body.clear();
    entry.asked = owner_.now();
    upstream::call_request request;
    request.head.method = "GET";
    request.head.target = state::to_target(entry.request);
    request.head.fields = {{"Host", host}};
    entry.call = upstream::call::start(
        pool_, {"peer " + host, {host, options_.peer_port}}, std::move(request),
        answer_bounds,
        {nullptr,
         [&entry](http1::response_head& head) { entry.status = head.status; },
         [&entry](std::string_view piece) { entry.body.append(piece); },
         [this, number, host] { finish(number, host); },
         [this, number, host](upstream::call_failure) {
             give_up(number, host);
         }});
    entry.limit.start(reader_timeout(entry), [this, number, host] {
        on_limit(number, host);
    });
}

void shared_store::on_limit(std::uint64_t number, const std::string& host) {
    peer_watch& entry = *open_.at(number);
    const bool due = !entry.full_read && skips_readers(entry.request.what);
    if (due) {
        entry.remaining.clear();
        entry.store_is_fallback = true;
    }
    // A reader that was asked only just now has not failed.
    if (due && owner_.now() - entry.asked < answer_slack) {
        entry.call.reset();
        ask_next(number);
    } else {
        give_up(number, host);
    }
}

void shared_store::ask_store(std::uint64_t number) {
    const auto node = open_.extract(number);
    peer_watch& entry = *node.mapped();
    // The caller of a full read tries again after a pause.
    if (entry.full_read ||
        (!entry.store_is_fallback && reader_reported_recently())) {
        owner_.post([then = std::move(entry.on_answer)] { then({}); });
        return;
    }
    source_.watch(
        entry.request.what, entry.request.after,
        overdue(entry.request.what) ? overdue_wait : entry.store_wait,
        std::move(entry.on_answer));
}

void shared_store::finish(std::uint64_t number, const std::string& host) {
    const peer_watch& entry = *open_.at(number);
    state::store_answer answer;
    if (entry.status == status_unavailable)
        unreachable_reported_at_ = owner_.now();
    if (entry.status == status_gone) {
        answer.result = state::store_result::history_gone;
    } else if (entry.status == status_ok) {
        auto message = state::store_answer_from(entry.body, entry.asked);
        if (message.ok())
            answer = *std::move(message);
    }
    if (answer.result == state::store_result::unreachable) {
        give_up(number, host);
        return;
    }
    const auto node = open_.extract(number);
    if (entry.full_read)
        reading_since_.erase(entry.request.what);
    node.mapped()->on_answer(std::move(answer));
}

void shared_store::give_up(std::uint64_t number, const std::string& host) {
    peer_watch& entry = *open_.at(number);
    entry.limit.stop();
    entry.call.reset();
    // The reader has not read the collection yet, but will have soon.
    if (entry.full_read && entry.status == status_unavailable) {
        ask_next(number);
        return;
    }
    backed_off_until_[host] = owner_.now() + reader_backoff;
    log_.write(
        "reader_silent", {{"host", host},
                          {"collection", to_string(entry.request.what)},
                          {"status", std::int64_t{entry.status}},
                          {"for_ms", reader_backoff.count()}});
    ask_next(number);
}

} // namespace mintknot::runtime
