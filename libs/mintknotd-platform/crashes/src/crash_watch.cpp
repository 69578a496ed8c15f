#include <mintknot/crashes/crash_watch.hpp>

#include "crash_detector.hpp"
#include "crash_messages.hpp"
#include "delayed_actions.hpp"
#include "part_watch.hpp"
#include "recipients.hpp"

#include <mintknot/base/random.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace mintknot::crashes {

namespace {

/// Each message to the evaluators is sent again after this delay, as datagrams
/// may be lost.
constexpr base::milliseconds resend_delay{300};
constexpr base::milliseconds block_resend_interval{1000};
/// Runs in one report, each with the parts of its prompt.
constexpr std::size_t max_runs_sent = 8;

} // namespace

struct crash_watch::impl {
    impl(relay::router_context& shared, crash_watch_callbacks outside)
        : router(shared)
        , callbacks(std::move(outside))
        , detector(
              shared, interruptions, callbacks.health_check_for,
              [this](
                  const std::string& incarnation,
                  std::vector<broken_run> runs) {
                  report_crash(incarnation, std::move(runs));
              })
        , resends(shared.loop)
        , evaluation_timer(shared.loop)
        , block_resend_timer(shared.loop)
        , parts(
              shared, callbacks,
              shared.loop.now() + policy::part_learning_time) {}

    base::steady_time now() const { return router.loop.now(); }

    /// Reports to the evaluators which requests ran on a server that has ended.
    void report_crash(
        const std::string& server_incarnation, std::vector<broken_run> runs) {
        for (auto next = runs.begin(); next != runs.end();) {
            const auto left = static_cast<std::size_t>(runs.end() - next);
            const auto end = next + static_cast<std::ptrdiff_t>(
                                        std::min(max_runs_sent, left));
            crash_report report{server_incarnation, {next, end}};
            record_crash(report);
            send_to_evaluators(report);
            for (broken_run& run : report.runs)
                run.ago += resend_delay;
            resends.run_after(
                resend_delay, [this, report] { send_to_evaluators(report); });
            next = end;
        }
    }

    void send_to_evaluators(const crash_message& message) {
        send_to_hosts(callbacks, callbacks.evaluators(), encode(message));
    }

    void record_crash(const crash_report& report) {
        parts.record(report);
        for (const broken_run& run : report.runs) {
            const base::steady_time broken_at = now() - run.ago;
            policy::note_crash(
                evidence, run.key,
                {report.server_incarnation, broken_at - run.ran_for, broken_at,
                 run.liveness},
                now());
        }
        schedule_evaluation();
    }

    void schedule_evaluation() {
        const auto due = policy::next_evaluation(evidence);
        if (due)
            evaluation_timer.start(*due, [this] { evaluate(); });
    }

    void evaluate() {
        policy::expire(evidence, now());
        const std::vector<policy::block_entry> new_blocks =
            policy::evaluate_suspects(evidence, now());
        for (const policy::block_entry& block : new_blocks)
            log_block(block, callbacks.own_host);
        broadcast_blocks(new_blocks);
        schedule_evaluation();
    }

    void log_block(const policy::block_entry& block, const std::string& by) {
        router.log.write(
            "request_blocked", {{"digest", block.key.digest},
                                {"for_ms", block.left.count()},
                                {"times", std::int64_t{block.times}},
                                {"told_by", by}});
    }

    /// Announces new blocks to all instances and starts the periodic resends.
    void broadcast_blocks(const std::vector<policy::block_entry>& new_blocks) {
        for (const policy::block_entry& block : new_blocks)
            announced.insert(block.key.digest);
        for (std::size_t i = 0; i < new_blocks.size(); i += max_entries) {
            const auto begin =
                new_blocks.begin() + static_cast<std::ptrdiff_t>(i);
            const auto end = begin + static_cast<std::ptrdiff_t>(std::min(
                                         max_entries, new_blocks.size() - i));
            const std::string datagram =
                encode(block_announcement{{begin, end}});
            send_to_everybody(callbacks, datagram);
        }
        if (!new_blocks.empty() && !block_resend_timer.active())
            block_resend_timer.start(
                block_resend_interval, [this] { resend_blocks(); });
    }

    void resend_blocks() {
        policy::expire(evidence, now());
        std::erase_if(announced, [this](const std::string& digest) {
            return !policy::blocked_for(evidence, digest, now());
        });
        std::vector<policy::block_entry> known =
            policy::blocks(evidence, now());
        if (known.empty())
            return;
        keep_random_run(known, max_entries);
        send_to_some(
            callbacks, resend_rounds++,
            encode(block_announcement{std::move(known)}));
        block_resend_timer.start(
            block_resend_interval, [this] { resend_blocks(); });
    }

    void on_message(const std::string&, const crash_report& report) {
        record_crash(report);
    }

    void on_message(const std::string& host, const block_announcement& notice) {
        std::vector<policy::block_entry> new_blocks;
        for (const policy::block_entry& block : notice.blocks) {
            if (policy::recently_cleared(evidence, block.key.digest, now())) {
                callbacks.send(
                    host, encode(clear_announcement{block.key.digest}));
                continue;
            }
            if (!policy::note_block(evidence, block, now()))
                continue;
            log_block(block, host);
            new_blocks.push_back(block);
        }
        if (new_blocks.empty())
            return;
        const std::string datagram =
            encode(block_announcement{std::move(new_blocks)});
        send_to_hosts(callbacks, callbacks.leaf_hosts(), datagram);
        if (!block_resend_timer.active())
            block_resend_timer.start(
                block_resend_interval, [this] { resend_blocks(); });
    }

    void on_message(const std::string& host, const clear_announcement& notice) {
        const bool was_blocked =
            policy::blocked_for(evidence, notice.digest, now()).has_value();
        policy::clear(evidence, notice.digest, now());
        policy::remember_cleared(evidence, notice.digest, now());
        if (!was_blocked)
            return;
        log_cleared(notice.digest, host);
        // Only the announcer of a block is told by who knows of the answer.
        if (announced.erase(notice.digest) > 0)
            send_to_hosts(callbacks, callbacks.peers(), encode(notice));
        send_to_hosts(callbacks, callbacks.leaf_hosts(), encode(notice));
    }

    void log_cleared(const std::string& digest, const std::string& by) {
        router.log.write(
            "request_cleared", {{"digest", digest}, {"told_by", by}});
    }

    void clear(const std::string& digest) {
        const bool was_blocked =
            policy::blocked_for(evidence, digest, now()).has_value();
        const bool unreported = detector.has_unreported(digest);
        if (!policy::clear(evidence, digest, now()) && !unreported)
            return;
        policy::remember_cleared(evidence, digest, now());
        const clear_announcement notice{digest};
        if (!was_blocked) {
            send_to_evaluators(notice);
            resends.run_after(
                resend_delay, [this, notice] { send_to_evaluators(notice); });
            return;
        }
        announced.erase(digest);
        const std::string datagram = encode(notice);
        log_cleared(digest, callbacks.own_host);
        send_to_everybody(callbacks, datagram);
    }

    relay::router_context& router;
    crash_watch_callbacks callbacks;
    policy::crash_evidence evidence;
    /// Digests of the blocks in force that this instance announced first.
    std::set<std::string> announced;
    std::vector<policy::interruption> interruptions;
    crash_detector detector;
    delayed_actions resends;
    std::size_t resend_rounds = 0;
    event::timer evaluation_timer;
    event::timer block_resend_timer;
    part_watch parts;
};

crash_watch::crash_watch(
    relay::router_context& router, crash_watch_callbacks callbacks)
    : impl_(std::make_unique<impl>(router, std::move(callbacks))) {}

crash_watch::~crash_watch() = default;

std::optional<relay::crash_block>
crash_watch::find_block(const relay::request_identity& request) const {
    if (auto block = impl_->parts.find_block(request.parts()))
        return block;
    const base::steady_time now = impl_->now();
    if (!policy::may_be_blocked(impl_->evidence, request.body_bytes(), now))
        return std::nullopt;
    const auto left =
        policy::blocked_for(impl_->evidence, request.digest(), now);
    if (!left)
        return std::nullopt;
    return relay::crash_block{*left, {}};
}

void crash_watch::report_broken_call(
    const relay::request_identity& request, const relay::broken_call& call) {
    const traffic::server* server =
        traffic::find(impl_->router.state.servers, call.server_id);
    // A server that leaves ends by design: that is not a crash.
    if (server == nullptr ||
        traffic::leaves(impl_->router.state.servers, *server))
        return;
    broken_run run{{request.digest(), request.body_bytes()}, call.ran_for};
    if (call.answer_just_begun)
        run.parts = request.parts();
    impl_->detector.report_broken_call(run, *server);
}

void crash_watch::note_interruption(const policy::interruption& gap) {
    policy::note_interruption(impl_->interruptions, gap);
    impl_->evidence.complete_since = gap.ended + policy::row_lapse_time;
}

void crash_watch::server_replaced(const std::string& server_id) {
    impl_->detector.replaced(server_id);
}

void crash_watch::report_sound(const relay::request_identity& request) {
    impl_->parts.note_sound(request.parts());
}

void crash_watch::report_answer(const relay::request_identity& request) {
    report_sound(request);
    if (policy::may_be_known(impl_->evidence, request.body_bytes()) ||
        impl_->detector.has_unreported(request.body_bytes()))
        impl_->clear(request.digest());
}

bool crash_watch::receive(const std::string& host, std::string_view datagram) {
    if (impl_->parts.receive(host, datagram))
        return true;
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

std::size_t crash_watch::blocked_parts() const {
    return impl_->parts.blocked();
}

std::size_t crash_watch::servers_ended() const {
    return impl_->detector.count();
}

} // namespace mintknot::crashes
