#include <mintknot/crashes/crash_watch.hpp>

#include "crash_messages.hpp"
#include "end_check.hpp"

#include <mintknot/base/random.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace mintknot::crashes {

namespace {

/// Between two checks of a server that has answered: one that breaks calls and
/// lives is not to be asked each time.
constexpr base::milliseconds min_check_gap{1000};
/// Calls that broke a little later than the others belong to the same end.
constexpr base::milliseconds straggler_time{1000};
/// Within this time a server's row shows that it has been started again.
constexpr base::milliseconds doubt_time{5000};
/// Runs of one server that are told of.
constexpr std::size_t max_runs = 64;
/// A report is sent again after this time, as datagrams are lost.
constexpr base::milliseconds resend_time{300};
constexpr base::milliseconds notice_period{1000};
/// Who is told of blocks in each period: of the others, and the part of the
/// followers.
constexpr std::size_t peers_told = 4;
constexpr std::size_t followers_part = 4;

/// A server under which calls broke.
struct watched_server {
    std::string life;
    std::vector<broken_run> runs; ///< Not told yet.
    /// Runs that broke although the server answered a moment later: it may have
    /// been started again by then, which its row tells.
    std::vector<broken_run> doubted;
    std::unique_ptr<end_check> check;
    bool check_planned = false;
    std::unique_ptr<event::timer> timer; ///< Of the check, or of the end here.
    std::optional<base::steady_time> alive_at;
    std::optional<base::steady_time> ended_at;
};

std::string life_of(const traffic::server& server) {
    return server.id + "/" + std::to_string(server.born);
}

} // namespace

struct crash_watch::impl {
    impl(relay::router_context& shared, watch_ports outside)
        : router(shared)
        , ports(std::move(outside))
        , judge_timer(shared.loop)
        , notice_timer(shared.loop) {}

    base::steady_time now() const { return router.loop.now(); }

    void call_broke(const broken_run& run, const traffic::server& server) {
        watched_server& at = watched[server.id];
        const std::string life = life_of(server);
        if (at.life != life) {
            at = {};
            at.life = life;
            at.timer = std::make_unique<event::timer>(router.loop);
        }
        if (at.runs.size() < max_runs)
            at.runs.push_back(run);
        if (at.ended_at) {
            report(at);
            return;
        }
        if (at.check != nullptr || at.check_planned)
            return;
        const base::steady_time due =
            at.alive_at ? *at.alive_at + min_check_gap : now();
        at.check_planned = true;
        at.timer->start(due, [this, id = server.id] { check(id); });
    }

    void check(const std::string& id) {
        const auto wanted = ports.check_of(id);
        if (!wanted) {
            watched.erase(id);
            return;
        }
        watched_server& at = watched.at(id);
        if (wanted->not_before > now()) {
            at.timer->start(wanted->not_before, [this, id] { check(id); });
            return;
        }
        at.check_planned = false;
        at.check = std::make_unique<end_check>(
            router.loop, router.pool, wanted->server);
        at.check->start(
            router.protocol.health(wanted->path, id),
            [this, id](end_verdict found) {
                // The check is running: let it go afterwards.
                router.loop.post(
                    [this, id, found, alive = std::weak_ptr<bool>(life)] {
                        if (!alive.expired())
                            on_verdict(id, found);
                    });
            });
    }

    void on_verdict(const std::string& id, end_verdict found) {
        const auto entry = watched.find(id);
        if (entry == watched.end())
            return;
        watched_server& at = entry->second;
        at.check.reset();
        if (found == end_verdict::ended) {
            on_end(id, at);
            return;
        }
        at.doubted = std::exchange(at.runs, {});
        at.alive_at = now();
        forget_later(id, at, doubt_time);
    }

    void on_end(const std::string& id, watched_server& at) {
        ++ended;
        at.ended_at = now();
        router.log.write(
            "server_ended",
            {{"server", id},
             {"runs", static_cast<std::int64_t>(at.runs.size())}});
        report(at);
        forget_later(id, at, straggler_time);
    }

    /// The row of a server has gone, or tells of another life.
    void on_replaced(const std::string& id) {
        const auto entry = watched.find(id);
        if (entry == watched.end() || entry->second.ended_at)
            return;
        watched_server& at = entry->second;
        at.check.reset();
        at.runs.insert(at.runs.end(), at.doubted.begin(), at.doubted.end());
        at.doubted.clear();
        if (!at.runs.empty())
            on_end(id, at);
    }

    void forget_later(
        const std::string& id, watched_server& at, base::milliseconds time) {
        at.timer->start(time, [this, id] { watched.erase(id); });
        at.check_planned = false;
    }

    /// Tells the judges what ran on a server that has ended.
    void report(watched_server& at) {
        while (!at.runs.empty()) {
            const std::size_t count = std::min(max_entries, at.runs.size());
            const auto end =
                at.runs.begin() + static_cast<std::ptrdiff_t>(count);
            const crash_report told{at.life, {at.runs.begin(), end}};
            at.runs.erase(at.runs.begin(), end);
            take(told);
            send_to_judges(encode(told));
        }
    }

    void send_to_judges(const std::string& datagram) {
        tell(ports.judges(), datagram);
        const std::uint64_t number = ++last_resend;
        auto& timer = resends[number];
        timer = std::make_unique<event::timer>(router.loop);
        timer->start(resend_time, [this, number, datagram] {
            tell(ports.judges(), datagram);
            router.loop.post([this, number, alive = std::weak_ptr<bool>(life)] {
                if (!alive.expired())
                    resends.erase(number);
            });
        });
    }

    void
    tell(const std::vector<std::string>& hosts, const std::string& datagram) {
        for (const std::string& host : hosts)
            if (host != ports.own_host)
                ports.send(host, datagram);
    }

    void take(const crash_report& told) {
        for (const broken_run& run : told.runs)
            policy::note_crash(
                evidence, run.key, {told.server_life, run.ran_for}, now());
        plan_judgement();
    }

    void plan_judgement() {
        const auto due = policy::next_judgement(evidence);
        if (due)
            judge_timer.start(*due, [this] { judge(); });
    }

    void judge() {
        policy::expire(evidence, now());
        const std::vector<policy::block_news> fresh =
            policy::judge(evidence, now());
        for (const policy::block_news& block : fresh)
            log_block(block, ports.own_host);
        announce(fresh);
        plan_judgement();
    }

    void log_block(const policy::block_news& block, const std::string& by) {
        router.log.write(
            "request_blocked", {{"digest", block.key.digest},
                                {"for_ms", block.left.count()},
                                {"times", std::int64_t{block.times}},
                                {"told_by", by}});
    }

    /// Tells everybody, and from now on some of them again and again.
    void announce(const std::vector<policy::block_news>& fresh) {
        for (std::size_t i = 0; i < fresh.size(); i += max_entries) {
            const auto begin = fresh.begin() + static_cast<std::ptrdiff_t>(i);
            const auto end = begin + static_cast<std::ptrdiff_t>(std::min(
                                         max_entries, fresh.size() - i));
            const std::string datagram = encode(block_notice{{begin, end}});
            tell(ports.peers(), datagram);
            tell(ports.followers(), datagram);
        }
        if (!fresh.empty() && !notice_timer.active())
            notice_timer.start(notice_period, [this] { remind(); });
    }

    void remind() {
        policy::expire(evidence, now());
        std::vector<policy::block_news> known = policy::blocks(evidence, now());
        if (known.empty())
            return;
        if (known.size() > max_entries) {
            const std::size_t first = base::random_below(known.size());
            std::rotate(
                known.begin(),
                known.begin() + static_cast<std::ptrdiff_t>(first),
                known.end());
            known.resize(max_entries);
        }
        const std::string datagram = encode(block_notice{std::move(known)});
        std::vector<std::string> some = ports.peers();
        base::keep_some(some, peers_told);
        tell(some, datagram);
        const std::vector<std::string> followers = ports.followers();
        for (std::size_t i = reminders % followers_part; i < followers.size();
             i += followers_part)
            ports.send(followers[i], datagram);
        ++reminders;
        notice_timer.start(notice_period, [this] { remind(); });
    }

    void on_message(const std::string&, const crash_report& told) {
        take(told);
    }

    void on_message(const std::string& host, const block_notice& notice) {
        std::vector<policy::block_news> fresh;
        for (const policy::block_news& block : notice.blocks) {
            if (policy::recently_cleared(evidence, block.key.digest, now())) {
                ports.send(host, encode(clear_notice{block.key.digest}));
                continue;
            }
            if (!policy::note_block(evidence, block, now()))
                continue;
            log_block(block, host);
            fresh.push_back(block);
        }
        if (fresh.empty())
            return;
        const std::string datagram = encode(block_notice{std::move(fresh)});
        tell(ports.followers(), datagram);
        if (!notice_timer.active())
            notice_timer.start(notice_period, [this] { remind(); });
    }

    void on_message(const std::string& host, const clear_notice& notice) {
        const bool was_blocked =
            policy::blocked_for(evidence, notice.digest, now()).has_value();
        if (!policy::clear(evidence, notice.digest, now()) || !was_blocked)
            return;
        log_clearing(notice.digest, host);
        tell(ports.followers(), encode(notice));
    }

    void log_clearing(const std::string& digest, const std::string& by) {
        router.log.write(
            "request_cleared", {{"digest", digest}, {"told_by", by}});
    }

    void clear(const std::string& digest) {
        const bool was_blocked =
            policy::blocked_for(evidence, digest, now()).has_value();
        if (!policy::clear(evidence, digest, now()))
            return;
        const std::string datagram = encode(clear_notice{digest});
        if (!was_blocked) {
            send_to_judges(datagram);
            return;
        }
        log_clearing(digest, ports.own_host);
        tell(ports.peers(), datagram);
        tell(ports.followers(), datagram);
    }

    relay::router_context& router;
    watch_ports ports;
    policy::crash_evidence evidence;
    std::map<std::string, watched_server> watched; ///< By server ID.
    std::map<std::uint64_t, std::unique_ptr<event::timer>> resends;
    std::uint64_t last_resend = 0;
    std::size_t reminders = 0;
    std::size_t ended = 0;
    event::timer judge_timer;
    event::timer notice_timer;
    std::shared_ptr<bool> life = std::make_shared<bool>(true);
};

crash_watch::crash_watch(relay::router_context& router, watch_ports ports)
    : impl_(std::make_unique<impl>(router, std::move(ports))) {}

crash_watch::~crash_watch() = default;

std::optional<base::milliseconds>
crash_watch::blocked_for(const relay::request_identity& request) const {
    const base::steady_time now = impl_->now();
    if (!policy::may_be_blocked(impl_->evidence, request.body_bytes(), now))
        return std::nullopt;
    return policy::blocked_for(impl_->evidence, request.digest(), now);
}

void crash_watch::call_broke(
    const relay::request_identity& request, const std::string& server_id,
    base::milliseconds ran_for) {
    const traffic::server* server =
        traffic::find(impl_->router.state.servers, server_id);
    // The end of a server that leaves is nobody's fault.
    if (server == nullptr ||
        traffic::leaves(impl_->router.state.servers, *server))
        return;
    impl_->call_broke(
        {{request.digest(), request.body_bytes()}, ran_for}, *server);
}

void crash_watch::server_replaced(const std::string& server_id) {
    impl_->on_replaced(server_id);
}

void crash_watch::answered(const relay::request_identity& request) {
    if (policy::may_be_known(impl_->evidence, request.body_bytes()))
        impl_->clear(request.digest());
}

bool crash_watch::receive(const std::string& host, std::string_view datagram) {
    const auto value = decode_crash_message(datagram);
    if (!value.ok())
        return false;
    std::visit(
        [&](const auto& known) { impl_->on_message(host, known); }, *value);
    return true;
}

std::size_t crash_watch::blocked() const {
    return policy::blocks(impl_->evidence, impl_->now()).size();
}

std::size_t crash_watch::servers_ended() const {
    return impl_->ended;
}

} // namespace mintknot::crashes
