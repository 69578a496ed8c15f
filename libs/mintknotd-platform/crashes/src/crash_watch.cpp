#include <mintknot/crashes/crash_watch.hpp>

#include "crash_messages.hpp"
#include "ended_servers.hpp"

#include <mintknot/base/random.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace mintknot::crashes {

namespace {

/// What judges are told is told again after this time: datagrams are lost.
constexpr base::milliseconds resend_time{300};
constexpr base::milliseconds notice_period{1000};
/// Who is told of blocks in each period: of the others, and the part of the
/// followers.
constexpr std::size_t peers_told = 4;
constexpr std::size_t followers_part = 4;

} // namespace

struct crash_watch::impl {
    impl(relay::router_context& shared, watch_ports outside)
        : router(shared)
        , ports(std::move(outside))
        , servers(
              shared, ports.check_of,
              [this](const std::string& life, std::vector<broken_run> runs) {
                  report(life, std::move(runs));
              })
        , judge_timer(shared.loop)
        , notice_timer(shared.loop) {}

    base::steady_time now() const { return router.loop.now(); }

    /// Tells the judges what ran on a server that has ended.
    void report(const std::string& server_life, std::vector<broken_run> runs) {
        for (auto next = runs.begin(); next != runs.end();) {
            const auto left = static_cast<std::size_t>(runs.end() - next);
            const auto end =
                next + static_cast<std::ptrdiff_t>(std::min(max_entries, left));
            crash_report told{server_life, {next, end}};
            take(told);
            send_to_judges(told);
            for (broken_run& run : told.runs)
                run.ago += resend_time;
            later([this, told] { send_to_judges(told); });
            next = end;
        }
    }

    void send_to_judges(const crash_message& message) {
        tell(ports.judges(), encode(message));
    }

    /// Does something after the resend time.
    void later(std::function<void()> action) {
        const std::uint64_t number = ++last_resend;
        auto& timer = resends[number];
        timer = std::make_unique<event::timer>(router.loop);
        timer->start(resend_time, [this, number, action = std::move(action)] {
            action();
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
        for (const broken_run& run : told.runs) {
            const base::steady_time broke = now() - run.ago;
            policy::note_crash(
                evidence, run.key,
                {told.server_life, broke - run.ran_for, broke}, now());
        }
        plan_judgement();
    }

    void plan_judgement() {
        const auto due = policy::next_evaluation(evidence);
        if (due)
            judge_timer.start(*due, [this] { judge(); });
    }

    void judge() {
        policy::expire(evidence, now());
        const std::vector<policy::block_entry> fresh =
            policy::evaluate_suspects(evidence, now());
        for (const policy::block_entry& block : fresh)
            log_block(block, ports.own_host);
        announce(fresh);
        plan_judgement();
    }

    void log_block(const policy::block_entry& block, const std::string& by) {
        router.log.write(
            "request_blocked", {{"digest", block.key.digest},
                                {"for_ms", block.left.count()},
                                {"times", std::int64_t{block.times}},
                                {"told_by", by}});
    }

    /// Tells everybody, and from now on some of them again and again.
    void announce(const std::vector<policy::block_entry>& fresh) {
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
        std::vector<policy::block_entry> known =
            policy::blocks(evidence, now());
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
        std::vector<policy::block_entry> fresh;
        for (const policy::block_entry& block : notice.blocks) {
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
        const clear_notice notice{digest};
        if (!was_blocked) {
            send_to_judges(notice);
            later([this, notice] { send_to_judges(notice); });
            return;
        }
        const std::string datagram = encode(notice);
        log_clearing(digest, ports.own_host);
        tell(ports.peers(), datagram);
        tell(ports.followers(), datagram);
    }

    relay::router_context& router;
    watch_ports ports;
    policy::crash_evidence evidence;
    ended_servers servers;
    std::map<std::uint64_t, std::unique_ptr<event::timer>> resends;
    std::uint64_t last_resend = 0;
    std::size_t reminders = 0;
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
    impl_->servers.call_broke(
        {{request.digest(), request.body_bytes()}, ran_for}, *server);
}

void crash_watch::server_replaced(const std::string& server_id) {
    impl_->servers.replaced(server_id);
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
    return impl_->servers.count();
}

} // namespace mintknot::crashes
