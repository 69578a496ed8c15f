#include "shared_store.hpp"

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>

namespace mintknot::runtime {

namespace {

/// How long a reader holds a watch. A reader may be cut off from the store
/// without knowing it yet: another one is asked after this time.
constexpr base::milliseconds reader_wait{1000};
/// Readers that one instance asks, in turn.
constexpr std::size_t readers_asked = 2;
/// What an answer may take beyond the wait.
constexpr base::milliseconds answer_slack{400};
/// How long a reader that failed is passed over.
constexpr base::milliseconds suspicion{2000};
/// How long the store holds a watch that is to confirm what is overdue.
constexpr base::milliseconds overdue_wait{50};
/// Between two such watches of one instance: 176 a second from 88 of them, each
/// of which has a price.
constexpr base::milliseconds overdue_gap{500};
/// How long a whole read is tried at readers: 10,000 rows take a reader with a
/// core 0.5 s and one with 0.12 of it some 4 s (calculated).
constexpr base::milliseconds shared_read_patience{6000};
/// What the answer to a whole read may take: 4 MB over 20 Mbit/s.
constexpr base::milliseconds whole_answer_time{3000};
constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;

} // namespace

/// A watch that goes to readers.
struct shared_store::peer_watch {
    explicit peer_watch(event::loop& owner)
        : limit(owner) {}
    state::change_request request;
    bool whole = false; ///< All rows are wanted, not those behind a version.
    base::milliseconds store_wait{0}; ///< If it goes to the store after all.
    state::store_handler on_answer;
    bool stands_in = true;         ///< See policy::store_access.
    std::vector<std::string> left; ///< Readers to be asked, the next one last.
    std::unique_ptr<upstream::call> call;
    base::steady_time asked; ///< When the reader at hand was.
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
    if (!shares_read(what, access)) {
        source_.read(what, std::move(on_answer));
        return;
    }
    auto entry = std::make_unique<peer_watch>(owner_);
    entry->request = {what, 0, base::milliseconds{0}};
    entry->whole = true;
    entry->on_answer = std::move(on_answer);
    entry->left = trusted_readers(access.sources);
    begin(std::move(entry));
}

bool shared_store::shares_read(
    state::collection what, const policy::store_access& access) {
    const bool can_share = access.full_reads_from_sources &&
                           what != state::collection::leases &&
                           !access.sources.empty() && !reads_itself(access);
    if (!can_share) {
        reading_since_.erase(what);
        return false;
    }
    const base::steady_time now = owner_.now();
    const auto since = reading_since_.emplace(what, now).first;
    if (now - since->second < shared_read_patience)
        return true;
    reading_since_.erase(since);
    return false;
}

bool shared_store::reads_itself(const policy::store_access& access) const {
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
            static_cast<std::ptrdiff_t>(++turns_[what] % readers.size());
        std::rotate(readers.begin(), readers.begin() + turn, readers.end());
    }
    auto entry = std::make_unique<peer_watch>(owner_);
    entry->request = {what, after, reader_wait};
    entry->store_wait = wait;
    entry->on_answer = std::move(on_answer);
    entry->stands_in = access.reads_store_as_fallback || direct;
    entry->left = std::move(readers);
    begin(std::move(entry));
}

void shared_store::begin(std::unique_ptr<peer_watch> entry) {
    const std::uint64_t number = ++last_;
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
    const auto asked = asked_store_.find(what);
    if (asked != asked_store_.end() && now - asked->second < overdue_gap)
        return false;
    asked_store_[what] = now;
    return true;
}

base::milliseconds shared_store::patience_with(const peer_watch& entry) const {
    if (entry.whole)
        return whole_answer_time;
    const base::milliseconds usual = entry.request.wait + answer_slack;
    const auto from = overdue_from(entry.request.what);
    if (!from)
        return usual;
    base::steady_time next = *from;
    const auto asked = asked_store_.find(entry.request.what);
    if (asked != asked_store_.end())
        next = std::max(next, asked->second + overdue_gap);
    return std::min(
        usual, std::chrono::ceil<base::milliseconds>(next - owner_.now()));
}

bool shared_store::has_answered_lately() const {
    return answered_ != base::steady_time{} &&
           owner_.now() - answered_ <= suspicion;
}

std::vector<std::string>
shared_store::trusted_readers(std::vector<std::string> hosts) const {
    if (reads_itself({hosts}))
        return {};
    std::erase_if(hosts, [this](const std::string& host) {
        const auto found = suspected_.find(host);
        return found != suspected_.end() && found->second > owner_.now();
    });
    // Each instance has its own two, so that all readers share the work.
    return base::rendezvous_first(options_.own_host, hosts, readers_asked);
}

void shared_store::ask_next(std::uint64_t number) {
    peer_watch& entry = *open_.at(number);
    if (entry.left.empty()) {
        ask_store(number);
        return;
    }
    const std::string host = entry.left.back();
    entry.left.pop_back();
    entry.status = 0;
    entry.body.clear();
    entry.asked = owner_.now();
    upstream::call_request request;
    request.head.method = "GET";
    request.head.target = state::to_target(entry.request);
    request.head.fields = {{"Host", host}};
    entry.call = upstream::call::start(
        pool_, {"peer " + host, {host, options_.peer_port}}, std::move(request),
        {},
        {nullptr,
         [&entry](http1::response_head& head) { entry.status = head.status; },
         [&entry](std::string_view piece) { entry.body.append(piece); },
         [this, number, host] { finish(number, host); },
         [this, number, host](upstream::call_failure) {
             give_up(number, host);
         }});
    entry.limit.start(
        patience_with(entry), [this, number, host] { on_limit(number, host); });
}

void shared_store::on_limit(std::uint64_t number, const std::string& host) {
    peer_watch& entry = *open_.at(number);
    const bool due = !entry.whole && skips_readers(entry.request.what);
    if (due) {
        entry.left.clear();
        entry.stands_in = true;
    }
    // A reader that was asked a moment ago is not silent.
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
    // Whoever reads a collection whole comes again after a pause.
    if (entry.whole || (!entry.stands_in && has_answered_lately())) {
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
        answered_ = owner_.now();
    if (entry.status == status_gone) {
        answer.result = state::store_result::history_gone;
    } else if (entry.status == status_ok) {
        auto told = state::store_answer_from(entry.body, entry.asked);
        if (told.ok())
            answer = *std::move(told);
    }
    if (answer.result == state::store_result::unreachable) {
        give_up(number, host);
        return;
    }
    const auto node = open_.extract(number);
    if (entry.whole)
        reading_since_.erase(entry.request.what);
    node.mapped()->on_answer(std::move(answer));
}

void shared_store::give_up(std::uint64_t number, const std::string& host) {
    peer_watch& entry = *open_.at(number);
    entry.limit.stop();
    entry.call.reset();
    // A reader that has not read yet will have done so soon.
    if (entry.whole && entry.status == status_unavailable) {
        ask_next(number);
        return;
    }
    suspected_[host] = owner_.now() + suspicion;
    log_.write(
        "reader_silent", {{"host", host},
                          {"collection", to_string(entry.request.what)},
                          {"status", std::int64_t{entry.status}},
                          {"for_ms", suspicion.count()}});
    ask_next(number);
}

} // namespace mintknot::runtime
