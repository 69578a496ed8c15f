#include "generation_exchange.hpp"

#include <algorithm>

namespace mintknot::relay {

namespace {

/// Pause after some connections in a row have failed: short against the time
/// for which a server is avoided that could not be reached.
constexpr base::milliseconds unreachable_pause{100};
/// In a log line: no room was to be foreseen.
constexpr base::milliseconds not_foreseen{-1};
constexpr int max_prefills = 3;
/// Part of the expected output that is reserved in a decode engine's memory.
/// Requests are at different points of their output: on average each holds
/// about half of it. Worth of a busy day at 0.8: 0.535 (mean of three plays),
/// at 0.6: 0.579 (mean of three).
constexpr double reserved_output_share = 0.6;
/// A prefill is sent only where the call that runs the request is left.
constexpr int calls_with_prefill = 2;

} // namespace

generation_exchange::generation_exchange(
    router_context& context, answer_sink& sink, caller_request request,
    std::shared_ptr<const traffic::configuration> config,
    const traffic::route& route, const traffic::service& service)
    : exchange(
          context, sink, std::move(request), std::move(config), route, service)
    , wait_timer_(context.loop)
    , silence_timer_(context.loop) {}

generation_exchange::~generation_exchange() {
    cancel_calls();
}

void generation_exchange::run() {
    place();
}

void generation_exchange::cancel_calls() {
    placement_.reset();
    queue_ticket_.reset();
    wait_timer_.stop();
    silence_timer_.stop();
    end_prefill();
    decode_call_.reset();
    release_decode();
    drop_result();
}

bool generation_exchange::may_be_running() const {
    return decode_call_ != nullptr && decode_call_->sent();
}

double generation_exchange::memory_needed() const {
    const request_terms& terms = request_.terms;
    const double most = terms.max_output_tokens;
    const double expected =
        std::min(most, terms.expected_output_tokens.value_or(most / 2.0));
    return terms.prompt_tokens + reserved_output_share * expected;
}

bool generation_exchange::result_usable() const {
    return !kept_.server.empty() && context_.loop.now() < kept_.until;
}

base::milliseconds generation_exchange::read_limit() const {
    const base::milliseconds left =
        route_.target_latency - since_arrival() -
        policy::mean_hand_over(context_.state.demands[service_.name]);
    // What is late in any case need not slow a decode engine down.
    return left > base::milliseconds{0} ? left : route_.target_latency;
}

policy::placement_query generation_exchange::query() const {
    const bool reads_apart =
        prefills_ < max_prefills && !result_usable() && rejected_ <= 1;
    policy::placement_query wanted;
    wanted.service = service_.name;
    wanted.kind = reads_apart ? policy::placement_kind::prefill_and_decode
                              : policy::placement_kind::decode;
    wanted.prompt_tokens = request_.terms.prompt_tokens;
    wanted.memory_tokens = memory_needed();
    wanted.read_limit = read_limit();
    wanted.may_return = rejected_ == 0;
    wanted.excluded = decode_tried_;
    wanted.excluded_prefill = prefill_tried_;
    return wanted;
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
    if (decode == nullptr || decode->draining) {
        policy::room_summary seen = placed.room;
        // A scheduler that does not know yet that the engine leaves will name
        // another one shortly.
        if (!placed.server.empty())
            seen.forecast.wait = base::milliseconds{0};
        wait_for_room(seen);
        return;
    }
    placed_by_ = placed.by;
    decode_server_ = decode->id;
    decode_reserved_ = memory_needed();
    placed_at_ = context_.loop.now();
    add_load(context_, decode_server_, {1, 0.0, decode_reserved_});
    const traffic::server* prefill =
        traffic::find(context_.state.servers, placed.prefill);
    if (prefill != nullptr && may_send(calls_with_prefill))
        start_prefill(*prefill, placed.tokens_ahead);
    else
        start_decode();
}

bool generation_exchange::prepay(int calls) {
    while (prepaid_ < calls) {
        if (!spend_repeat(context_, service_.name))
            return false;
        ++prepaid_;
    }
    return true;
}

bool generation_exchange::may_send(int calls) {
    if (arrivals_ > 0) {
        if (!prepay(calls))
            return false;
        --prepaid_;
        return true;
    }
    // This call is the first that counts; a prefill does not as long as no
    // engine has taken one up.
    const bool first_is_free = calls == 1 || !prefill_taken_up_;
    return first_is_free || prepay(calls - 1);
}

void generation_exchange::wait_for_room(const policy::room_summary& seen) {
    const auto expected = expected_wait(seen.forecast);
    const base::milliseconds start =
        policy::mean_start(context_.state.demands[service_.name]);
    const policy::unplaced_request unplaced = describe_unplaced();
    // A stream that has begun is worth waiting for, whatever is foreseen.
    if (head_sent_ || policy::should_wait(unplaced, expected, start)) {
        join_queue(!policy::can_meet_target(unplaced, expected, start));
        return;
    }
    log_room(seen, expected);
    give_up("no_capacity", come_back(seen.forecast, expected));
}

void generation_exchange::wait_for_connection() {
    const policy::unplaced_request unplaced = describe_unplaced();
    if (head_sent_ || policy::should_wait(
                          unplaced, unreachable_pause, base::milliseconds{0})) {
        wait_timer_.start(unreachable_pause, [this] { place(); });
        return;
    }
    give_up("server_unreachable", return_after_outage(context_, service_.name));
}

policy::unplaced_request generation_exchange::describe_unplaced() const {
    policy::unplaced_request unplaced;
    unplaced.waited = since_arrival();
    unplaced.target = route_.target_latency;
    unplaced.time_left = time_left();
    unplaced.begun = prefills_ > 0 || runs_ > 0;
    return unplaced;
}

queue_rank generation_exchange::rank(bool late) const {
    return {late, route_.priority, request_.arrived};
}

std::optional<base::milliseconds> generation_exchange::expected_wait(
    const policy::room_forecast& forecast) const {
    const double ahead =
        context_.queue.tokens_ahead(service_.name, rank(false)) +
        tokens_ahead_elsewhere(
            context_.state, service_.name, context_.loop.now());
    return policy::wait_behind(forecast, ahead);
}

void generation_exchange::join_queue(bool late) {
    queue_ticket_ = context_.queue.join(
        service_.name, rank(late), memory_needed(), [this] { place(); });
}

base::milliseconds generation_exchange::come_back(
    const policy::room_forecast& forecast,
    std::optional<base::milliseconds> expected) {
    return policy::schedule_return(
        context_.state.returns[service_.name],
        {forecast, expected, memory_needed(), context_.state.instances},
        context_.loop.now());
}

void generation_exchange::log_room(
    const policy::room_summary& room,
    std::optional<base::milliseconds> expected) {
    context_.log.write(
        "no_room",
        {{"request", request_.terms.id},
         {"needs", memory_needed()},
         {"engines", std::int64_t{room.engines}},
         {"avoided", std::int64_t{room.avoided}},
         {"most_room", room.max_room},
         {"peers",
          static_cast<std::int64_t>(context_.state.loads.peers.size())},
         {"expected_wait_ms", expected.value_or(not_foreseen).count()},
         {"waited_ms", since_arrival().count()}});
}

void generation_exchange::release_decode() {
    if (decode_server_.empty())
        return;
    remove_load(context_, decode_server_, {1, 0.0, decode_reserved_});
    decode_server_.clear();
}

} // namespace mintknot::relay
