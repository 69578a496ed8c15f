#include <mintknot/origins/origin_directory.hpp>

#include "origin_messages.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/policy/answer_timeout.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace mintknot::origins {

namespace {

/// Shortest time to wait for answers: ten times the round trip between data
/// centres.
constexpr base::milliseconds min_answer_timeout{30};
/// Longest one: a caller waits, and the next answer may tell.
constexpr base::milliseconds max_answer_timeout{150};
/// Times that a silent instance is asked.
constexpr int max_rounds = 2;
constexpr base::milliseconds min_eviction_log_interval{1000};

/// A question that waits for answers.
struct pending_query {
    explicit pending_query(event::loop& owner)
        : timer(owner) {}
    std::string stream; ///< Key; empty if the caller does not say which.
    std::string service;
    relay::origin_handler then;
    policy::origin_answers answers;
    std::set<std::string> awaited; ///< Hosts that have not answered.
    int rounds = 0;
    event::timer timer;
};

} // namespace

struct origin_directory::impl {
    impl(relay::router_context& shared, origin_callbacks outside)
        : router(shared)
        , callbacks(std::move(outside))
        , last_number(base::random_bits()) {}

    base::steady_time now() const { return router.loop.now(); }

    void note(const origin_notice& notice) {
        const std::uint64_t evicted = table.evicted;
        policy::note_origin(
            table, notice.stream, notice.version, notice.life, now());
        if (table.evicted == evicted ||
            now() - eviction_logged_at < min_eviction_log_interval)
            return;
        eviction_logged_at = now();
        router.log.write(
            "origins_evicted",
            {{"evicted", static_cast<std::int64_t>(table.evicted)},
             {"kept", static_cast<std::int64_t>(table.by_stream.size())}});
    }

    void tell(const origin_notice& notice) {
        const std::string datagram = encode(notice);
        for (const std::string& host : policy::origin_hosts(
                 notice.stream, callbacks.members(), policy::origin_holders))
            callbacks.send(host, datagram);
        ++counters.told;
    }

    std::uint64_t
    begin(const relay::stream_identity& stream, relay::origin_handler then) {
        const std::uint64_t number = ++last_number;
        auto entry = std::make_unique<pending_query>(router.loop);
        if (!stream.request_id.empty())
            entry->stream =
                policy::stream_key(stream.organisation, stream.request_id);
        entry->service = stream.service;
        entry->then = std::move(then);
        pending.emplace(number, std::move(entry));
        // By contract, the handler is never called before this call returns.
        router.loop.post(
            [this, number, alive = std::weak_ptr<bool>(alive_token)] {
                if (!alive.expired())
                    look_up(number);
            });
        return number;
    }

    void look_up(std::uint64_t number) {
        const auto found = pending.find(number);
        if (found == pending.end())
            return;
        pending_query& entry = *found->second;
        const policy::stream_origin* origin =
            policy::find_origin(table, entry.stream, now());
        if (origin != nullptr) {
            entry.answers.version = origin->version;
            finish(number, {}, age_of(*origin));
            return;
        }
        if (const auto only = callbacks.only_version(entry.service))
            policy::note_only_version(entry.answers, *only);
        // A stream that others may remember is asked for all the same: this
        // view of the servers may be a little old.
        if (entry.stream.empty() && entry.answers.only_version) {
            finish(number, {}, {});
            return;
        }
        const std::string& key =
            entry.stream.empty() ? entry.service : entry.stream;
        for (const std::string& host : policy::origin_hosts(
                 key, callbacks.members(), policy::origin_respondents))
            entry.awaited.insert(host);
        entry.answers.group_unknown =
            now() - router.state.started < policy::group_discovery_time;
        ++counters.asked;
        ask(number, entry);
    }

    /// Asks the instances that have not answered, or finishes if they have been
    /// asked often enough.
    void ask(std::uint64_t number, pending_query& entry) {
        entry.answers.silent = entry.awaited.size();
        if (entry.awaited.empty() || entry.rounds++ == max_rounds) {
            finish(number, {}, {});
            return;
        }
        const std::string datagram =
            encode(origin_query{number, entry.stream, entry.service});
        base::milliseconds timeout = min_answer_timeout;
        for (const std::string& host : entry.awaited) {
            callbacks.send(host, datagram);
            policy::note_query_sent(paces, host, now());
            timeout = std::max(
                timeout,
                policy::answer_timeout(paces, host, min_answer_timeout));
        }
        entry.timer.start(
            std::min(timeout, max_answer_timeout), [this, number] {
                const auto found = pending.find(number);
                if (found != pending.end())
                    ask(number, *found->second);
            });
    }

    void finish(
        std::uint64_t number, const std::string& told_by,
        base::milliseconds age) {
        auto node = pending.extract(number);
        pending_query& entry = *node.mapped();
        entry.timer.stop();
        const relay::origin_answer answer{
            policy::decide_origin(entry.answers), told_by, age};
        const relay::origin_handler then = std::move(entry.then);
        then(answer);
    }

    base::milliseconds age_of(const policy::stream_origin& origin) const {
        return std::chrono::duration_cast<base::milliseconds>(
            now() - origin.noted);
    }

    void on_message(const std::string&, const origin_notice& notice) {
        note(notice);
    }

    void on_message(const std::string& host, const origin_query& query) {
        origin_reply reply;
        reply.number = query.number;
        const policy::stream_origin* origin =
            policy::find_origin(table, query.stream, now());
        if (origin != nullptr) {
            reply.version = origin->version;
            reply.age = age_of(*origin);
        } else {
            reply.only_version = callbacks.only_version(query.service);
        }
        ++counters.answered;
        callbacks.send(host, encode(reply));
    }

    void on_message(const std::string& host, const origin_reply& reply) {
        policy::note_answer_received(paces, host, now());
        const auto found = pending.find(reply.number);
        if (found == pending.end() || found->second->awaited.erase(host) == 0)
            return;
        pending_query& entry = *found->second;
        if (reply.version)
            entry.answers.version = reply.version;
        if (reply.only_version)
            policy::note_only_version(entry.answers, *reply.only_version);
        entry.answers.silent = entry.awaited.size();
        if (reply.version || entry.awaited.empty())
            finish(reply.number, host, reply.age);
    }

    relay::router_context& router;
    origin_callbacks callbacks;
    policy::origin_table table;
    policy::answer_times paces;
    origin_counters counters;
    base::steady_time eviction_logged_at{};
    std::uint64_t last_number;
    std::map<std::uint64_t, std::unique_ptr<pending_query>> pending;
    std::shared_ptr<bool> alive_token = std::make_shared<bool>(true);
};

origin_directory::origin_directory(
    relay::router_context& router, origin_callbacks callbacks)
    : impl_(std::make_unique<impl>(router, std::move(callbacks))) {}

origin_directory::~origin_directory() = default;

void origin_directory::note_begun(
    const relay::stream_identity& stream, const std::string& version,
    base::milliseconds life) {
    if (stream.request_id.empty() || version.empty() ||
        version.size() > max_text_bytes)
        return;
    const origin_notice notice{
        policy::stream_key(stream.organisation, stream.request_id), version,
        life};
    impl_->note(notice);
    impl_->tell(notice);
}

std::unique_ptr<relay::ticket> origin_directory::find(
    const relay::stream_identity& stream, relay::origin_handler then) {
    const std::uint64_t number = impl_->begin(stream, std::move(then));
    return std::make_unique<relay::cancelling_ticket>(
        impl_->alive_token, [this, number] { impl_->pending.erase(number); });
}

bool origin_directory::receive(
    const std::string& host, std::string_view datagram) {
    const auto value = decode_origin_message(datagram);
    if (!value.ok())
        return false;
    std::visit(
        [&](const auto& known) { impl_->on_message(host, known); }, *value);
    return true;
}

const origin_counters& origin_directory::counters() const {
    return impl_->counters;
}

const policy::origin_table& origin_directory::table() const {
    return impl_->table;
}

} // namespace mintknot::origins
