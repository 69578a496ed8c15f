#include "generation_exchange.hpp"

#include "life_check.hpp"

#include <mintknot/policy/admission.hpp>
#include <mintknot/policy/engine_needs.hpp>
#include <mintknot/relay/server_notices.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

/// Value in a log line if the wait for capacity cannot be predicted.
constexpr base::milliseconds unknown_wait{-1};
/// Engines of another version that a scheduler, of an earlier build, may name
/// for a stream.
constexpr int max_version_mismatches = 16;

bool can_decode(traffic::engine_phase phase) {
    return phase != traffic::engine_phase::prefill;
}

} // namespace

generation_exchange::generation_exchange(
    router_context& context, answer_sink& sink, caller_request request,
    std::shared_ptr<const traffic::configuration> config,
    const traffic::route& route, const traffic::service& service)
    : exchange(
          context, sink, std::move(request), std::move(config), route, service)
    , wait_timer_(context.loop)
    , silence_timer_(context.loop)
    , overlap_timer_(context.loop) {}

generation_exchange::~generation_exchange() {
    cancel_calls();
}

void generation_exchange::run() {
    place();
}

void generation_exchange::cancel_calls() {
    cancel_search();
    drop_silent_call("request_ended");
}

bool generation_exchange::may_be_running() const {
    const auto sent = [](const decode_state& decode) {
        return decode.call != nullptr && decode.call->sent();
    };
    return sent(decode_) || (silent_ && sent(*silent_));
}

double generation_exchange::memory_needed() const {
    const request_metadata& terms = request_.terms;
    return policy::memory_needed(
        {terms.prompt_tokens, terms.max_output_tokens,
         terms.expected_output_tokens});
}

bool generation_exchange::result_usable() const {
    return !kept_.server.empty() && context_.loop.now() < kept_.expires_at;
}

policy::placement_query generation_exchange::query() const {
    const bool needs_prefill =
        policy::needs_separate_prefill(attempts_, result_usable());
    policy::placement_query needs;
    needs.service = service_.name;
    needs.kind = needs_prefill ? policy::placement_kind::prefill_and_decode
                               : policy::placement_kind::decode;
    needs.prompt_tokens = request_.terms.prompt_tokens;
    needs.memory_tokens = memory_needed();
    if (follows_memory())
        needs.profile = policy::profile_of(
            expected_memory(), needs.memory_tokens, context_.loop.now());
    needs.max_prefill_time = policy::prefill_time_limit(
        route_.target_latency, since_arrival(),
        policy::mean_hand_over_time(context_.state.demands[service_.name]));
    needs.may_reuse_excluded =
        silent_
            ? policy::may_reuse_silent_engine(attempts_, silent_for(*silent_))
            : policy::may_reuse_tried_engine(attempts_);
    needs.version = stream_version_;
    needs.excluded = decode_tried_;
    needs.excluded_prefill = prefill_.tried;
    needs.claim =
        claim(was_queued_, attempts_.answer_begun || describe_unplaced().begun);
    return needs;
}

void generation_exchange::place() {
    release_decode();
    placement_ = place_request(
        context_, service_, query(),
        [this](const policy::placement& placed) { on_placed(placed); });
}

void generation_exchange::on_placed(const policy::placement& placed) {
    const traffic::server* decode =
        traffic::find(context_.state.servers, placed.server);
    if (decode == nullptr || !may_send_to(context_, *decode)) {
        policy::capacity_summary seen = placed.capacity;
        // The scheduler does not know yet that the engine takes no new
        // requests; it will choose another one shortly.
        if (!placed.server.empty())
            seen.forecast.wait = base::milliseconds{0};
        wait_for_capacity(seen);
        return;
    }
    if (is_other_version(*decode)) {
        place_again_without(decode->id);
        return;
    }
    if (!ensure_sendable())
        return;
    if (exclude_leaving_prefill(placed)) {
        place();
        return;
    }
    placed_by_ = placed.scheduler_host;
    decode_.server = decode->id;
    reserve_decode(placed);
    const traffic::server* prefill =
        traffic::find(context_.state.servers, placed.prefill);
    if (prefill != nullptr && may_send_to(context_, *prefill) &&
        !is_other_version(*prefill) &&
        prepay(policy::retries_to_prepay(charges_, policy::calls_with_prefill)))
        start_prefill(*prefill, placed.tokens_ahead);
    else
        start_decode();
}

void generation_exchange::place_again_without(const std::string& engine) {
    context_.log.write(
        "version_mismatch", {{"request", request_.terms.id},
                             {"server", engine},
                             {"version", *stream_version_}});
    decode_tried_.insert(engine);
    if (++version_mismatches_ <= max_version_mismatches)
        place();
    else if (!return_to_silent_call("version_mismatch"))
        end_without_version();
}

bool generation_exchange::exclude_leaving_prefill(
    const policy::placement& placed) {
    const traffic::server* engine =
        traffic::find(context_.state.servers, placed.prefill);
    return engine != nullptr && !may_send_to(context_, *engine) &&
           prefill_.tried.insert(engine->id).second;
}

bool generation_exchange::prepay(int retries) {
    while (charges_.prepaid < retries) {
        if (!spend_retry(context_, service_.name))
            return false;
        ++charges_.prepaid;
    }
    return true;
}

void generation_exchange::wait_for_capacity(
    const policy::capacity_summary& seen) {
    if (!silent_ && is_version_gone(can_decode)) {
        end_without_version();
        return;
    }
    const auto expected = expected_wait(seen.forecast);
    const base::milliseconds start =
        policy::mean_first_event_time(context_.state.demands[service_.name]);
    const policy::unplaced_request unplaced = describe_unplaced();
    // A stream that has begun, here or in an earlier request, waits even if no
    // capacity is predicted in time. So does one that may be running.
    if (silent_ || stream_version_ || attempts_.answer_begun ||
        policy::should_wait(unplaced, expected, start)) {
        join_queue(!policy::can_meet_target(unplaced, expected, start));
        return;
    }
    log_no_capacity(seen, expected);
    refuse_for_capacity({memory_needed(), seen.forecast, expected});
}

void generation_exchange::wait_for_connection() {
    const policy::unplaced_request unplaced = describe_unplaced();
    if (silent_ || attempts_.answer_begun ||
        policy::should_wait(
            unplaced, policy::unreachable_retry_delay, base::milliseconds{0})) {
        wait_timer_.start(policy::unreachable_retry_delay, [this] { place(); });
        return;
    }
    give_up(
        "server_unreachable",
        usable_retry_after(outage_retry_after(context_, service_.name)));
}

policy::unplaced_request generation_exchange::describe_unplaced() const {
    policy::unplaced_request unplaced;
    unplaced.waited = since_arrival();
    unplaced.target = route_.target_latency;
    const base::milliseconds until_caller_leaves =
        policy::caller_first_event_timeout(
            route_.target_latency, route_.target_gap) -
        since_arrival();
    unplaced.time_left = std::min(time_left(), until_caller_leaves);
    unplaced.begun = attempts_.prefills > 0 || attempts_.runs > 0;
    return unplaced;
}

policy::queue_rank generation_exchange::rank(bool late) const {
    return {late, priority(), request_.arrived};
}

std::optional<base::milliseconds> generation_exchange::expected_wait(
    const policy::capacity_forecast& forecast) const {
    const double ahead =
        context_.queue.tokens_ahead(service_.name, rank(false)) +
        peer_tokens_ahead(context_.state, service_.name, context_.loop.now());
    return policy::wait_behind(forecast, ahead);
}

void generation_exchange::join_queue(bool late) {
    was_queued_ = true;
    queue_ticket_ = context_.queue.join(
        service_.name, rank(late), memory_needed(), [this] { place(); });
}

void generation_exchange::log_no_capacity(
    const policy::capacity_summary& room,
    std::optional<base::milliseconds> expected) {
    std::vector<logging::log_field> fields{
        {"request", request_.terms.id},
        {"needs", memory_needed()},
        {"engines", std::int64_t{room.engines}},
        {"avoided", std::int64_t{room.avoided}},
        {"most_room", room.max_free_tokens},
        {"peers", static_cast<std::int64_t>(context_.state.loads.peers.size())},
        {"expected_wait_ms", expected.value_or(unknown_wait).count()},
        {"waited_ms", since_arrival().count()}};
    add_needs_fields(fields);
    context_.log.write_fields("no_room", fields);
}

void generation_exchange::release(decode_state& decode) {
    if (decode.server.empty())
        return;
    if (decode.tracked)
        untrack_stream(context_, *decode.tracked);
    else
        remove_load(context_, decode.server, {1, 0.0, decode.reserved_tokens});
    decode.tracked.reset();
    decode.server.clear();
}

} // namespace mintknot::relay
