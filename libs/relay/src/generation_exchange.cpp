#include "generation_exchange.hpp"

#include <algorithm>

namespace mintknot::relay {

namespace {

constexpr base::milliseconds room_poll{15};
constexpr int most_prefills = 3;
/// Part of an engine's memory that is given out with the requests that wait
/// in the engine's own queue.
constexpr double queued_share = 1.15;

} // namespace

generation_exchange::generation_exchange(
    router& owner, answer_sink& sink, caller_request request,
    std::shared_ptr<const traffic::catalogue> config,
    const traffic::route& route, const traffic::service& service)
    : exchange(
          owner, sink, std::move(request), std::move(config), route, service)
    , wait_timer_(owner.loop)
    , silence_timer_(owner.loop) {}

generation_exchange::~generation_exchange() {
    cancel_calls();
}

void generation_exchange::run() {
    place();
}

void generation_exchange::cancel_calls() {
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
    const double most = terms.most_output_tokens;
    const double expected =
        std::min(most, terms.expected_output_tokens.value_or(most / 2.0));
    return terms.prompt_tokens + owner_.options.output_share * expected;
}

bool generation_exchange::result_usable() const {
    return !kept_.server.empty() && owner_.loop.now() < kept_.until;
}

void generation_exchange::place() {
    if (result_usable() || rejected_ > 1) {
        if (reserve_decode("", free_share))
            start_decode();
        else
            wait_for_room();
        return;
    }
    const traffic::selection_inputs inputs = selection_for(owner_, service_);
    const bool reads_apart =
        owner_.options.prefill == prefill_policy::separate &&
        prefills_ < most_prefills;
    const traffic::server* prefill =
        reads_apart ? traffic::select_prefill(
                          inputs, prefill_tried_, request_.terms.prompt_tokens)
                    : nullptr;
    if (!reserve_decode(
            prefill == nullptr ? "" : prefill->data_centre, free_share)) {
        // An engine's own queue holds a few more, which it reads itself.
        if (owner_.options.queue_at_engines && reserve_decode("", queued_share))
            start_decode();
        else
            wait_for_room();
        return;
    }
    if (prefill != nullptr && reads_in_time(*prefill) && may_send())
        start_prefill(*prefill);
    else
        start_decode();
}

bool generation_exchange::may_send() {
    return arrivals_ == 0 || spend_repeat(owner_, service_.name);
}

void generation_exchange::wait_for_room() {
    const room_terms terms = room_terms_for(
        owner_.state.deadlines[route_.name], route_.target_latency,
        request_.terms.deadline, prefills_ > 0, owner_.draw());
    // A stream that has begun is worth waiting for, whatever its target.
    if (!head_sent_ && since_arrival() >= terms.wait) {
        log_room();
        give_up("no_capacity", terms.come_back);
        return;
    }
    wait_timer_.start(room_poll, [this] { place(); });
}

void generation_exchange::log_room() {
    const traffic::room_summary room =
        traffic::summarize_room(selection_for(owner_, service_));
    owner_.log.write(
        "no_room",
        {{"request", request_.terms.id},
         {"needs", memory_needed()},
         {"engines", std::int64_t{room.engines}},
         {"avoided", std::int64_t{room.avoided}},
         {"most_room", room.most_room},
         {"peers", static_cast<std::int64_t>(owner_.state.loads.peers.size())},
         {"waited_ms", since_arrival().count()}});
}

bool generation_exchange::reserve_decode(
    const std::string& data_centre, double memory_share) {
    release_decode();
    const traffic::selection_inputs inputs = selection_for(owner_, service_);
    const traffic::decode_request wanted{
        memory_needed(), memory_share, data_centre};
    const traffic::server* chosen =
        traffic::select_decode(inputs, decode_tried_, wanted);
    if (chosen == nullptr && !decode_tried_.empty() && rejected_ == 0)
        chosen = traffic::select_decode(inputs, {}, wanted);
    if (chosen == nullptr)
        return false;
    decode_server_ = chosen->id;
    decode_reserved_ = memory_needed();
    add_load(owner_, decode_server_, {1, 0.0, decode_reserved_});
    return true;
}

void generation_exchange::release_decode() {
    if (decode_server_.empty())
        return;
    remove_load(owner_, decode_server_, {1, 0.0, decode_reserved_});
    decode_server_.clear();
}

} // namespace mintknot::relay
