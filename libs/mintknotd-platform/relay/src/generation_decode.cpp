/// @file
/// The part of a generation exchange that runs the request and passes the
/// events on.

#include "answer_status.hpp"
#include "generation_exchange.hpp"

namespace mintknot::relay {

namespace {

constexpr int max_rejections = 3;
/// Connections that may fail before the next one waits a moment.
constexpr int max_unreachable = 3;
constexpr std::size_t max_failure_bytes = 64 * 1024;
/// Silence after which a stream that may be resumed goes on elsewhere.
constexpr base::milliseconds first_event_patience{1000};
constexpr base::milliseconds next_event_patience{700};

} // namespace

void generation_exchange::start_decode() {
    const traffic::server* engine =
        traffic::find(context_.state.servers, decode_server_);
    if (engine == nullptr || engine->draining) {
        place();
        return;
    }
    if (!may_send(1)) {
        if (head_sent_)
            break_answer("retry_allowance_spent");
        else
            give_up("retry_allowance_spent");
        return;
    }
    const bool with_result = result_usable();
    took_result_ = with_result;
    decode_tried_.insert(decode_server_);
    decode_started_ = context_.loop.now();
    ++sends_;
    ++arrivals_;
    ++runs_;
    note_offer();
    streaming_ = false;
    splitter_ = {};
    failure_body_.clear();
    context_.log.write(
        "decode", {{"request", request_.terms.id},
                   {"route", route_.name},
                   {"server", decode_server_},
                   {"prefilled_by", kept_.server},
                   {"with_result", with_result},
                   {"placed_by", placed_by_},
                   {"send", std::int64_t{sends_}},
                   {"config", static_cast<std::int64_t>(config_->version)},
                   {"after_ms", since_arrival().count()}});
    call_terms terms = terms_for(*engine);
    terms.resume_after = last_event_;
    if (with_result)
        terms.prefill_result = kept_.place;
    decode_call_ = upstream::call::start(
        context_.pool, {engine->id, engine->where}, call_for(terms), {},
        {[this](const http1::response_head& head) { return belongs(head); },
         [this](http1::response_head& head) { on_decode_head(head); },
         [this](std::string_view piece) { on_decode_body(piece); },
         [this] { on_decode_done(); },
         [this](upstream::call_failure why) { on_decode_failure(why); }});
    watch_silence();
}

void generation_exchange::watch_silence() {
    const base::milliseconds patience =
        last_event_ ? next_event_patience : first_event_patience;
    silence_timer_.start(patience, [this] { on_decode_silence(); });
}

void generation_exchange::on_decode_head(http1::response_head& head) {
    answer_ = head;
    answer_terms_ = context_.protocol.read_answer(head);
    streaming_ = is_success(head.status) && answer_terms_.sealed &&
                 !answer_terms_.encoded;
    if (!streaming_)
        return;
    // The engine has taken the result over.
    kept_ = {};
    raise(base::verdict::ran);
}

void generation_exchange::on_decode_body(std::string_view piece) {
    if (!streaming_) {
        if (failure_body_.size() < max_failure_bytes)
            failure_body_.append(piece);
        return;
    }
    watch_silence();
    pass_on(traffic::push(splitter_, piece));
}

void generation_exchange::pass_on(const std::string& events) {
    if (events.empty())
        return;
    if (const auto id = traffic::last_event_id(events))
        last_event_ = id;
    if (!head_sent_) {
        head_sent_ = true;
        note_first_byte();
        note_pace_of_start();
        http1::response_head head = answer_;
        http1::erase_hop_fields(head.fields);
        sink_.begin(std::move(head));
    }
    sink_.data(events);
    if (sink_.congested() && decode_call_ != nullptr) {
        silence_timer_.stop();
        decode_call_->pause();
    }
}

void generation_exchange::note_pace_of_start() {
    const base::steady_time now = context_.loop.now();
    const auto since = [now](base::steady_time when) {
        return std::chrono::duration_cast<base::milliseconds>(now - when);
    };
    policy::phase_demand& demand = context_.state.demands[service_.name];
    policy::note_start(demand, since(placed_at_));
    if (took_result_)
        policy::note_hand_over(demand, since(decode_started_));
}

void generation_exchange::drained() {
    if (decode_call_ == nullptr)
        return;
    decode_call_->resume();
    watch_silence();
}

void generation_exchange::on_decode_done() {
    silence_timer_.stop();
    if (streaming_) {
        // Whatever follows the last event belongs to the body all the same.
        pass_on(splitter_.rest);
        splitter_.rest.clear();
        note_result(
            context_, decode_server_, policy::call_result::good,
            request_.terms.id);
        note_demand();
        decode_call_.reset();
        release_decode();
        if (head_sent_)
            end_answer("answered");
        else
            answer_whole(std::move(answer_), {});
        return;
    }
    decode_call_.reset();
    if (answer_terms_.not_executed || answer_.status == status_misdirected) {
        after_rejected_decode();
        return;
    }
    raise(base::verdict::ran);
    if (may_resume()) {
        go_on_elsewhere(policy::call_result::failed, "decode_failed");
        return;
    }
    note_result(
        context_, decode_server_, policy::call_result::failed,
        request_.terms.id);
    release_decode();
    if (head_sent_)
        break_answer("decode_failed");
    else if (is_success(answer_.status) || answer_terms_.encoded)
        give_up("bad_answer");
    else
        answer_whole(std::move(answer_), std::move(failure_body_));
}

void generation_exchange::note_demand() {
    const auto memory = static_cast<double>(service_.engine->memory_tokens);
    if (memory <= 0.0)
        return;
    policy::note_decode(
        context_.state.demands[service_.name], decode_reserved_ / memory,
        std::chrono::duration_cast<base::milliseconds>(
            context_.loop.now() - decode_started_));
}

void generation_exchange::after_rejected_decode() {
    --runs_;
    ++rejected_;
    const bool misdirected = answer_.status == status_misdirected;
    note_result(
        context_, decode_server_,
        misdirected ? policy::call_result::misdirected
                    : policy::call_result::rejected,
        request_.terms.id);
    context_.log.write(
        "decode_rejected", {{"request", request_.terms.id},
                            {"server", decode_server_},
                            {"status", std::int64_t{answer_.status}},
                            {"says", failure_body_},
                            {"prefilled_by", kept_.server},
                            {"rejections", std::int64_t{rejected_}},
                            {"after_ms", since_arrival().count()}});
    release_decode();
    if (rejected_ > max_rejections) {
        if (head_sent_)
            break_answer("decode_rejected");
        else
            give_up("decode_rejected");
        return;
    }
    context_.metrics.count_repeat("decode_rejected");
    // A second rejection points at the result rather than at the engines.
    if (rejected_ > 1)
        drop_result();
    place();
}

void generation_exchange::on_decode_failure(upstream::call_failure why) {
    silence_timer_.stop();
    decode_call_.reset();
    if (why == upstream::call_failure::unreachable) {
        --runs_;
        --sends_;
        --arrivals_;
        note_result(
            context_, decode_server_, policy::call_result::unreachable,
            request_.terms.id);
        release_decode();
        if (++unreachable_ > max_unreachable)
            wait_for_connection();
        else
            place();
        return;
    }
    raise(base::verdict::may_have_run);
    go_on_elsewhere(policy::call_result::failed, "decode_broke_off");
}

void generation_exchange::on_decode_silence() {
    // Silence alone does not end an answer: the engine is left only where the
    // request may go on elsewhere.
    if (!may_resume() || !prepay(1)) {
        note_result(
            context_, decode_server_, policy::call_result::silent,
            request_.terms.id);
        return;
    }
    raise(base::verdict::may_have_run);
    // The engine drops the request when its connection closes.
    decode_call_.reset();
    go_on_elsewhere(policy::call_result::silent, "decode_silent");
}

bool generation_exchange::may_resume() const {
    return route_.resumable && runs_ < route_.max_attempts;
}

void generation_exchange::go_on_elsewhere(
    policy::call_result result, std::string_view reason) {
    note_result(context_, decode_server_, result, request_.terms.id);
    release_decode();
    if (!may_resume()) {
        if (head_sent_)
            break_answer(reason);
        else
            give_up(reason);
        return;
    }
    context_.log.write(
        "resumed",
        {{"request", request_.terms.id},
         {"reason", reason},
         {"last_event", static_cast<std::int64_t>(last_event_.value_or(0))},
         {"after_ms", since_arrival().count()}});
    context_.metrics.count_repeat(reason);
    prefill_tried_.clear();
    place();
}

} // namespace mintknot::relay
