/// @file
/// The end of a decode call in a generation exchange: records the result for
/// the engine and performs the next step.

#include "answer_status.hpp"
#include "generation_exchange.hpp"

#include <mintknot/policy/timeouts.hpp>
#include <mintknot/relay/server_results.hpp>

namespace mintknot::relay {

void generation_exchange::on_bad_decode_head() {
    silence_timer_.stop();
    overlap_timer_.stop();
    decode_.call.reset();
    raise_verdict(base::verdict::may_have_run);
    after_decode(policy::call_end::bad_answer, policy::call_result::failed);
}

void generation_exchange::on_long_failure() {
    if (decode_.answer_end == policy::call_end::rejected) {
        decode_.failure_body.clear();
        on_decode_done();
    } else {
        on_decode_failure(upstream::call_failure::bad_answer);
    }
}

void generation_exchange::after_rejected_decode() {
    --attempts_.runs;
    ++attempts_.rejections;
    note_call_result(
        context_, decode_.server,
        decode_.answer.status == status_misdirected
            ? policy::call_result::misdirected
            : policy::call_result::rejected,
        request_.terms.id);
    log_rejection();
    // An engine at rest (a backoff that the server asks for) rejects all
    // requests, not this one in particular: it may be tried again later.
    if (policy::rests(
            context_.state.health.resting, decode_.server, context_.loop.now()))
        decode_tried_.erase(decode_.server);
    release_decode();
    const policy::next_step step = policy::after_decode_call(
        policy::call_end::rejected, route_, attempts_);
    if (step.what == policy::action::send_again) {
        context_.metrics.count_retry(step.reason);
        if (policy::is_result_suspect(attempts_))
            release_result();
    }
    apply_step(step);
}

void generation_exchange::log_rejection() const {
    context_.log.write(
        "decode_rejected", {{"request", request_.terms.id},
                            {"server", decode_.server},
                            {"status", std::int64_t{decode_.answer.status}},
                            {"says", decode_.failure_body},
                            {"prefilled_by", kept_.server},
                            {"rejections", std::int64_t{attempts_.rejections}},
                            {"after_ms", since_arrival().count()}});
}

void generation_exchange::on_decode_failure(upstream::call_failure why) {
    silence_timer_.stop();
    overlap_timer_.stop();
    decode_.call.reset();
    if (upstream::nothing_was_sent(why)) {
        note_unsent_decode();
        ++attempts_.unreachable;
        after_decode(
            policy::call_end::unreachable, policy::call_result::unreachable);
        return;
    }
    raise_verdict(base::verdict::may_have_run);
    record_broken_call(
        decode_.server, why, decode_.started_at,
        decode_.written_for < policy::sound_time);
    after_decode(policy::call_end::broken_off, policy::call_result::broken);
}

void generation_exchange::note_unsent_decode() {
    --attempts_.runs;
    --sends_;
    policy::note_decode_unreachable(charges_);
}

void generation_exchange::after_decode(
    policy::call_end end, policy::call_result result) {
    note_call_result(context_, decode_.server, result, request_.terms.id);
    release_decode();
    apply_step(policy::after_decode_call(end, route_, attempts_));
}

void generation_exchange::apply_step(const policy::next_step& step) {
    if (policy::ends_request(step.what) && return_to_silent_call(step.reason))
        return;
    switch (step.what) {
    case policy::action::deliver:
        deliver_answer(
            std::move(decode_.answer), std::move(decode_.failure_body));
        return;
    case policy::action::send_again:
        place();
        return;
    case policy::action::resume:
        resume(step.reason);
        return;
    case policy::action::pause:
        wait_for_connection();
        return;
    case policy::action::await_loan:
        ++attempts_.loan_waits;
        wait_timer_.start(policy::loan_pause, [this] { place(); });
        return;
    case policy::action::keep_waiting:
        return;
    case policy::action::give_up:
    case policy::action::break_off:
        end_with_action(step.what, step.reason);
        return;
    }
}

void generation_exchange::resume(std::string_view reason) {
    context_.log.write(
        "resumed",
        {{"request", request_.terms.id},
         {"reason", reason},
         {"last_event", static_cast<std::int64_t>(last_event_.value_or(0))},
         {"after_ms", since_arrival().count()}});
    context_.metrics.count_retry(reason);
    prefill_.tried.clear();
    place();
}

} // namespace mintknot::relay
