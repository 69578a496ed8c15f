/// @file
/// The decode phase of a generation exchange: sends the decode call and
/// forwards its events.

#include "answer_status.hpp"
#include "generation_exchange.hpp"

#include <mintknot/policy/group.hpp>
#include <mintknot/policy/timeouts.hpp>
#include <mintknot/relay/server_notices.hpp>
#include <mintknot/relay/server_results.hpp>

#include <algorithm>

namespace mintknot::relay {

namespace {

/// Bytes kept of an answer that is not a stream, for the caller or the log.
constexpr std::size_t max_failure_bytes = 64 * 1024;
/// Time between two events of a call that counts at most as time in which the
/// engine was seen to live: events may have waited for this process.
constexpr base::milliseconds max_progress_per_event{100};

} // namespace

void generation_exchange::start_decode() {
    const traffic::server* engine =
        traffic::find(context_.state.servers, decode_.server);
    if (engine == nullptr || !may_send_to(context_, *engine)) {
        place();
        return;
    }
    if (placement_expired()) {
        context_.log.write(
            "named_again", {{"request", request_.terms.id},
                            {"server", decode_.server},
                            {"placed_by", placed_by_},
                            {"after_ms", since_arrival().count()}});
        place();
        return;
    }
    if (!ensure_sendable())
        return;
    const bool confirmed =
        std::exchange(confirmed_engine_, {}) == decode_.server;
    if (stream_version_ && !confirmed && is_life_uncertain(*engine)) {
        start_decode_after_check(*engine);
        return;
    }
    if (!prepay(policy::retries_to_prepay(charges_, 1))) {
        apply_step(policy::after_allowance_spent(
            attempts_, policy::is_large_group(context_.state.instances)));
        return;
    }
    decode_.used_result = result_usable();
    decode_tried_.insert(decode_.server);
    decode_.started_at = context_.loop.now();
    decode_.answer_end.reset();
    decode_.streaming = false;
    decode_.written_for = base::milliseconds{0};
    decode_.event_at.reset();
    decode_.silence_noted = false;
    decode_.splitter = {};
    decode_.failure_body.clear();
    ++sends_;
    ++attempts_.runs;
    policy::note_sent(charges_);
    record_send();
    log_decode(*engine);
    send_decode(*engine);
    watch_silence();
}

bool generation_exchange::placement_expired() const {
    return context_.state.servers.partial &&
           context_.loop.now() - decode_.placed_at >
               context_.options.named_server_lifetime;
}

void generation_exchange::log_decode(const traffic::server& engine) const {
    std::vector<logging::log_field> fields{
        {"request", request_.terms.id},
        {"route", route_.name},
        {"server", engine.id},
        {"version", engine.version},
        {"prefilled_by", kept_.server},
        {"with_result", decode_.used_result},
        {"placed_by", placed_by_},
        {"send", std::int64_t{sends_}},
        {"servers_age_ms", server_table_age_ms(context_)},
        {"config", static_cast<std::int64_t>(config_->version)},
        {"after_ms", since_arrival().count()}};
    add_memory_fields(fields);
    context_.log.write_fields("decode", fields);
}

void generation_exchange::send_decode(const traffic::server& engine) {
    decode_.version = engine.version;
    call_parameters options = call_options_for(engine);
    options.resume_after = last_event_;
    options.urgency = urgency();
    if (decode_.used_result)
        options.prefill_result = kept_.location;
    if (silent_ && silent_->server == engine.id)
        drop_silent_call("left");
    if (silent_)
        overlap_timer_.start(
            policy::silent_call_overlap, [this] { drop_silent_call("left"); });
    decode_.number = ++decode_calls_;
    decode_.target = {engine.id, engine.where, request_.terms.id};
    decode_.call = upstream::call::start(
        context_.pool, decode_.target, call_for(options), {},
        handlers_of_call(decode_.number));
}

void generation_exchange::watch_silence() {
    silence_timer_.start(
        policy::event_timeout(last_event_.has_value()),
        [this] { on_decode_silence(); });
}

void generation_exchange::on_decode_head(http1::response_head& head) {
    read_head(decode_, head);
    if (decode_.answer_end == policy::call_end::bad_answer) {
        on_bad_decode_head();
        return;
    }
    if (!decode_.streaming)
        return;
    // The decode engine has taken over the prefill result.
    kept_ = {};
    raise_verdict(base::verdict::ran);
}

void generation_exchange::read_head(
    decode_state& decode, const http1::response_head& head) const {
    decode.answer = head;
    decode.metadata = context_.protocol.read_answer(head);
    decode.answer_end = end_of_answer(head.status, decode.metadata);
    decode.streaming = is_success(head.status) &&
                       decode.answer_end == policy::call_end::answered;
}

void generation_exchange::on_decode_body(std::string_view piece) {
    if (!decode_.streaming) {
        decode_.failure_body.append(piece);
        const std::size_t held = decode_.failure_body.size();
        if (!hold(held) || held > max_failure_bytes)
            on_long_failure();
        return;
    }
    drop_silent_call("left");
    decode_.silence_noted = false;
    watch_silence();
    forward_events(traffic::push(decode_.splitter, piece));
    const std::size_t held = decode_.splitter.rest.size();
    if (!hold(held) ||
        held > policy::max_event_bytes(request_.terms.max_output_tokens))
        on_decode_failure(upstream::call_failure::bad_answer);
}

void generation_exchange::forward_events(const std::string& events) {
    if (events.empty())
        return;
    record_event_time();
    if (const auto id = traffic::last_event_id(events))
        last_event_ = id;
    if (decode_.tracked)
        count_events(events);
    if (!attempts_.answer_begun) {
        note_origin();
        send_head();
    }
    sink_.data(events);
    if (sink_.congested() && decode_.call != nullptr) {
        silence_timer_.stop();
        decode_.call->pause();
    }
}

void generation_exchange::record_progress(base::steady_time now) {
    const bool was_sound = decode_.written_for >= policy::sound_time;
    if (decode_.event_at)
        decode_.written_for += std::min(
            std::chrono::duration_cast<base::milliseconds>(
                now - *decode_.event_at),
            max_progress_per_event);
    decode_.event_at = now;
    if (!was_sound && decode_.written_for >= policy::sound_time)
        record_sound();
}

void generation_exchange::record_event_time() {
    const base::steady_time now = context_.loop.now();
    record_progress(now);
    if (last_event_at_)
        longest_gap_ = std::max(
            longest_gap_, std::chrono::duration_cast<base::milliseconds>(
                              now - *last_event_at_));
    last_event_at_ = now;
}

void generation_exchange::send_head() {
    attempts_.answer_begun = true;
    record_first_byte();
    record_start_times();
    http1::response_head head = decode_.answer;
    http1::erase_hop_fields(head.fields);
    sink_.begin(std::move(head));
}

void generation_exchange::record_start_times() {
    const base::steady_time now = context_.loop.now();
    const auto since = [now](base::steady_time from) {
        return std::chrono::duration_cast<base::milliseconds>(now - from);
    };
    policy::phase_demand& demand = context_.state.demands[service_.name];
    policy::note_first_event(demand, since(decode_.placed_at));
    if (decode_.used_result)
        policy::note_hand_over(demand, since(decode_.started_at));
}

void generation_exchange::on_sink_writable() {
    if (decode_.call == nullptr)
        return;
    decode_.call->resume();
    // The pause was due to the caller and is no gap of the engine.
    last_event_at_ = context_.loop.now();
    watch_silence();
}

void generation_exchange::on_decode_done() {
    silence_timer_.stop();
    overlap_timer_.stop();
    if (decode_.streaming && was_cut_inside_event()) {
        on_decode_failure(upstream::call_failure::ended);
        return;
    }
    decode_.call.reset();
    if (decode_.streaming && decode_.answer.body == http1::framing::close) {
        check_end(decode_.target, [this](bool whole) {
            if (whole)
                finish_stream();
            else
                on_decode_failure(upstream::call_failure::ended);
        });
        return;
    }
    if (decode_.streaming) {
        finish_stream();
        return;
    }
    if (decode_.answer_end == policy::call_end::rejected) {
        after_rejected_decode();
        return;
    }
    raise_verdict(base::verdict::ran);
    after_decode(policy::call_end::server_failure, policy::call_result::failed);
}

bool generation_exchange::was_cut_inside_event() const {
    return decode_.answer.body == http1::framing::close &&
           decode_.metadata.event_stream &&
           traffic::ends_inside_event(decode_.splitter.rest);
}

void generation_exchange::finish_stream() {
    // Bytes after the last complete event still belong to the body.
    forward_events(decode_.splitter.rest);
    decode_.splitter.rest.clear();
    drop_silent_call("left");
    note_call_result(
        context_, decode_.server, policy::call_result::good, request_.terms.id);
    record_complete_answer();
    record_demand();
    record_output();
    decode_.call.reset();
    release_decode();
    if (attempts_.answer_begun)
        end_answer("answered");
    else
        deliver_answer(std::move(decode_.answer), {});
}

void generation_exchange::record_demand() {
    const auto memory = static_cast<double>(service_.engine->memory_tokens);
    if (memory <= 0.0)
        return;
    policy::note_decode(
        context_.state.demands[service_.name], decode_.reserved_tokens / memory,
        std::chrono::duration_cast<base::milliseconds>(
            context_.loop.now() - decode_.started_at));
}

} // namespace mintknot::relay
