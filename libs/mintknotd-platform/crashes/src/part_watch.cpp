#include "part_watch.hpp"

#include "recipients.hpp"

#include <mintknot/base/random.hpp>

#include <algorithm>

namespace mintknot::crashes {

namespace {

/// Within which instances answer a soundness_query: several round trips.
constexpr base::milliseconds soundness_reply_time{100};
constexpr base::milliseconds resend_interval{1000};
/// Longest trial_delay_: instances try again one after the other.
constexpr std::size_t max_trial_delay_ms = 60 * 1000;

} // namespace

part_watch::part_watch(
    relay::router_context& router, const crash_watch_callbacks& callbacks,
    base::steady_time counts_from)
    : router_(router)
    , callbacks_(callbacks)
    , trial_delay_(
          static_cast<std::int64_t>(base::random_below(max_trial_delay_ms)))
    , evaluation_timer_(router.loop)
    , confirmation_timer_(router.loop)
    , resend_timer_(router.loop) {
    evidence_.counts_from = counts_from;
}

void part_watch::record(const crash_report& report) {
    for (const broken_run& run : report.runs) {
        if (run.parts.empty() ||
            run.liveness == policy::server_liveness::doubtful)
            continue;
        policy::note_part_crash(
            evidence_, run.parts, report.server_incarnation, now() - run.ago,
            now());
    }
    schedule_evaluation();
}

void part_watch::schedule_evaluation() {
    if (evidence_.evaluate_at && !confirmation_timer_.active())
        evaluation_timer_.start(*evidence_.evaluate_at, [this] { evaluate(); });
}

void part_watch::evaluate() {
    evidence_.evaluate_at.reset();
    policy::expire_parts(evidence_, now());
    soundness_query query{callbacks_.own_host, {}};
    for (const policy::crash_cause& cause :
         policy::find_causes(evidence_, now()))
        query.parts.insert(cause.parts.begin(), cause.parts.end());
    while (query.parts.size() > max_parts)
        query.parts.erase(std::prev(query.parts.end()));
    if (query.parts.empty())
        return;
    send_to_all(query);
    confirmation_timer_.start(soundness_reply_time, [this] { confirm(); });
}

void part_watch::confirm() {
    part_block_announcement notice;
    for (const policy::crash_cause& cause :
         policy::find_causes(evidence_, now())) {
        if (cause.parts.size() > max_parts ||
            notice.blocks.size() == max_part_blocks)
            continue;
        notice.blocks.push_back(policy::block_cause(evidence_, cause, now()));
        log_block(notice.blocks.back(), callbacks_.own_host);
    }
    if (!notice.blocks.empty()) {
        send_to_all(notice);
        start_resends();
    }
    schedule_evaluation();
}

void part_watch::note_sound(const policy::prompt_parts& parts) {
    for (const std::string& part : parts)
        policy::note_sound(evidence_, part, now());
    for (const policy::prompt_parts& ended :
         policy::clear_part_blocks(evidence_, parts, now())) {
        log_cleared(ended, callbacks_.own_host);
        send_to_all(part_clear_announcement{ended});
    }
}

std::optional<relay::crash_block>
part_watch::find_block(const policy::prompt_parts& parts) const {
    if (parts.empty())
        return std::nullopt;
    const policy::part_block* block =
        policy::find_part_block(evidence_, parts, trial_delay_, now());
    if (block == nullptr)
        return std::nullopt;
    return relay::crash_block{
        base::time_left(block->until + trial_delay_, now()),
        policy::block_key(block->parts)};
}

bool part_watch::receive(const std::string& host, std::string_view datagram) {
    const auto value = decode_part_message(datagram);
    if (!value.ok())
        return false;
    std::visit([&](const auto& known) { on_message(host, known); }, *value);
    return true;
}

std::size_t part_watch::blocked() const {
    return policy::part_blocks(evidence_, now()).size();
}

void part_watch::start_resends() {
    if (!resend_timer_.active())
        resend_timer_.start(resend_interval, [this] { resend_blocks(); });
}

void part_watch::resend_blocks() {
    policy::expire_parts(evidence_, now());
    std::vector<policy::part_block_entry> known =
        policy::part_blocks(evidence_, now());
    if (known.empty())
        return;
    keep_random_run(known, max_part_blocks);
    send_to_some(
        callbacks_, resend_rounds_++,
        encode(part_block_announcement{std::move(known)}));
    start_resends();
}

void part_watch::send_to_all(const part_message& message) {
    send_to_everybody(callbacks_, encode(message));
}

void part_watch::send_to_leaves(const part_message& message) {
    send_to_hosts(callbacks_, callbacks_.leaf_hosts(), encode(message));
}

void part_watch::log_block(
    const policy::part_block_entry& block, const std::string& by) const {
    router_.log.write(
        "part_blocked", {{"parts", policy::block_key(block.parts)},
                         {"for_ms", block.left.count()},
                         {"times", std::int64_t{block.times}},
                         {"crashes", static_cast<std::int64_t>(block.crashes)},
                         {"told_by", by}});
}

void part_watch::log_cleared(
    const policy::prompt_parts& parts, const std::string& by) const {
    router_.log.write(
        "part_cleared", {{"parts", policy::block_key(parts)}, {"told_by", by}});
}

void part_watch::on_message(
    const std::string& host, const part_block_announcement& notice) {
    part_block_announcement fresh;
    for (const policy::part_block_entry& block : notice.blocks) {
        if (!policy::note_part_block(evidence_, block, now()))
            continue;
        log_block(block, host);
        fresh.blocks.push_back(block);
    }
    if (fresh.blocks.empty())
        return;
    send_to_leaves(fresh);
    start_resends();
}

void part_watch::on_message(const std::string&, const soundness_query& query) {
    soundness_reply reply;
    for (const std::string& part : query.parts)
        if (const auto sound = policy::last_sound(evidence_, part))
            reply.parts.push_back(
                {part, std::chrono::duration_cast<base::milliseconds>(
                           now() - *sound)});
    if (!reply.parts.empty())
        callbacks_.send(query.reply_to, encode(reply));
    send_to_leaves(query);
}

void part_watch::on_message(const std::string&, const soundness_reply& reply) {
    for (const sound_part& sound : reply.parts)
        policy::note_sound(evidence_, sound.part, now() - sound.ago);
}

void part_watch::on_message(
    const std::string& host, const part_clear_announcement& notice) {
    if (!policy::clear_part_block(evidence_, notice.parts, now()))
        return;
    log_cleared(notice.parts, host);
    send_to_leaves(notice);
}

} // namespace mintknot::crashes
