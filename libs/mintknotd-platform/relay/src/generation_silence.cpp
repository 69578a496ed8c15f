/// @file
/// A decode call whose engine has fallen silent: it stays open while the
/// request looks for another engine.

#include "end_check.hpp"
#include "generation_exchange.hpp"
#include "life_check.hpp"

#include <mintknot/policy/timeouts.hpp>
#include <mintknot/relay/server_results.hpp>

#include <utility>

namespace mintknot::relay {

upstream::call_handlers generation_exchange::handlers_of_call(int number) {
    upstream::call_handlers handlers;
    handlers.belongs = [this](const http1::response_head& head) {
        return is_answer_to_request(head);
    };
    handlers.on_head = [this, number](http1::response_head& head) {
        if (is_silent_call(number))
            on_silent_head(head);
        else
            on_decode_head(head);
    };
    handlers.on_body = [this, number](std::string_view piece) {
        if (is_silent_call(number) && silent_->streaming)
            take_back_silent_call("engine_wrote");
        if (!is_silent_call(number))
            on_decode_body(piece);
    };
    handlers.on_done = [this, number] {
        if (is_silent_call(number))
            on_silent_done();
        else
            on_decode_done();
    };
    handlers.on_failure = [this, number](upstream::call_failure why) {
        if (is_silent_call(number))
            on_silent_failure(why);
        else
            on_decode_failure(why);
    };
    return handlers;
}

void generation_exchange::on_decode_silence() {
    const policy::next_step step =
        policy::after_decode_call(policy::call_end::silent, route_, attempts_);
    const bool leaves = step.what != policy::action::keep_waiting;
    log_silence(leaves);
    if (!std::exchange(decode_.silence_noted, true))
        note_call_result(
            context_, decode_.server, policy::call_result::silent,
            request_.terms.id);
    if (!leaves)
        return;
    raise_verdict(base::verdict::may_have_run);
    // The silent engine may still take the kept prefill result.
    if (decode_.used_result)
        kept_ = {};
    silent_ = std::exchange(decode_, {});
    apply_step(step);
}

void generation_exchange::log_silence(bool leaves) const {
    const traffic::server* engine =
        traffic::find(context_.state.servers, decode_.server);
    const bool takes_new = engine != nullptr &&
                           traffic::takes_new(context_.state.servers, *engine);
    log_with_state(
        "decode_silent",
        {{"request", request_.terms.id},
         {"server", decode_.server},
         {"version", decode_.version},
         {"takes_new", takes_new},
         {"silent_ms", silent_for(decode_).count()},
         {"last_event", static_cast<std::int64_t>(last_event_.value_or(0))},
         {"leaves", leaves}});
}

base::milliseconds
generation_exchange::silent_for(const decode_state& decode) const {
    return std::chrono::duration_cast<base::milliseconds>(
        context_.loop.now() - last_event_at_.value_or(decode.started_at));
}

bool generation_exchange::is_silent_call(int number) const {
    return silent_ && silent_->number == number;
}

void generation_exchange::take_back_silent_call(std::string_view reason) {
    // A search that has sent nothing has not run the request.
    if (decode_.call != nullptr && !decode_.call->sent())
        note_unsent_decode();
    cancel_search();
    decode_ = std::move(*silent_);
    silent_.reset();
    context_.metrics.count_silent_call(reason);
    context_.log.write(
        "decode_taken_back", {{"request", request_.terms.id},
                              {"server", decode_.server},
                              {"reason", reason},
                              {"after_ms", since_arrival().count()}});
}

bool generation_exchange::return_to_silent_call(std::string_view reason) {
    if (!silent_)
        return false;
    take_back_silent_call(reason);
    watch_silence();
    return true;
}

void generation_exchange::cancel_search() {
    placement_.reset();
    life_check_.reset();
    queue_ticket_.reset();
    wait_timer_.stop();
    overlap_timer_.stop();
    end_check_.reset();
    end_prefill();
    decode_.call.reset();
    release_decode();
    release_result();
}

void generation_exchange::drop_silent_call(std::string_view reason) {
    if (!silent_)
        return;
    overlap_timer_.stop();
    context_.metrics.count_silent_call(reason);
    // The engine stops processing the request when its connection closes.
    release(*silent_);
    silent_.reset();
}

void generation_exchange::on_silent_head(http1::response_head& head) {
    read_head(*silent_, head);
    if (silent_->answer_end == policy::call_end::bad_answer)
        drop_silent_call("engine_broke");
    if (!silent_ || !silent_->streaming)
        return;
    take_back_silent_call("engine_wrote");
    raise_verdict(base::verdict::ran);
    watch_silence();
}

void generation_exchange::on_silent_done() {
    if (silent_->streaming) {
        take_back_silent_call("engine_wrote");
        on_decode_done();
        return;
    }
    if (silent_->answer_end == policy::call_end::rejected)
        --attempts_.runs;
    drop_silent_call("engine_broke");
}

void generation_exchange::on_silent_failure(upstream::call_failure why) {
    const bool unsent = upstream::nothing_was_sent(why);
    if (unsent)
        note_unsent_decode();
    else
        record_broken_call(
            silent_->server, why, silent_->started_at,
            silent_->written_for < policy::sound_time);
    note_call_result(
        context_, silent_->server,
        unsent ? policy::call_result::unreachable : policy::call_result::broken,
        request_.terms.id);
    drop_silent_call("engine_broke");
}

bool generation_exchange::ensure_sendable() {
    if (silent_ && find_block()) {
        return_to_silent_call("crashes_servers");
        return false;
    }
    return ensure_allowed();
}

} // namespace mintknot::relay
