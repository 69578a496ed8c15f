#include <mintknot/policy/attempts.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

traffic::route route_of(traffic::route_kind kind, int max_attempts) {
    traffic::route value;
    value.kind = kind;
    value.max_attempts = max_attempts;
    return value;
}

traffic::route resumable_route() {
    traffic::route value = route_of(traffic::route_kind::streaming, 2);
    value.resumable = true;
    return value;
}

const traffic::route unsafe_route = route_of(traffic::route_kind::unsafe, 2);
const traffic::route safe_route = route_of(traffic::route_kind::safe, 2);
const traffic::route stream_route = route_of(traffic::route_kind::streaming, 2);

/// A call was sent and time is left.
plain_call_state
call_state(base::verdict verdict, bool says_not_executed = false) {
    return {verdict, says_not_executed, base::milliseconds{500}};
}

constexpr auto not_run = base::verdict::not_run;
constexpr auto may_have_run = base::verdict::may_have_run;
constexpr auto ran = base::verdict::ran;

} // namespace

Test(attempts, an_unsafe_call_that_may_have_run_is_never_retried) {
    const attempts once{.runs = 1};
    const auto broken = after_plain_call(
        call_end::broken_off, unsafe_route, once, call_state(may_have_run));
    cr_assert(broken.what == action::give_up);
    cr_assert(broken.reason == "server_broke_off");
    const auto silent = after_plain_call(
        call_end::silent, unsafe_route, once, call_state(not_run));
    cr_assert(silent.what == action::keep_waiting);
    const auto failed = after_plain_call(
        call_end::server_failure, unsafe_route, once, call_state(ran));
    cr_assert(failed.what == action::deliver);
}

Test(attempts, a_call_that_has_not_run_is_retried) {
    const attempts rejected_once{.rejections = 1};
    const auto step = after_plain_call(
        call_end::rejected, unsafe_route, rejected_once,
        call_state(not_run, true));
    cr_assert(step.what == action::send_again);
    cr_assert(step.costs_retry);
    cr_assert(step.otherwise == action::give_up);
    cr_assert(step.otherwise_reason == "server_rejected");
}

Test(attempts, an_unsafe_call_is_retried_if_reported_as_not_executed) {
    const attempts rejected_once{.rejections = 1};
    cr_assert(
        after_plain_call(
            call_end::rejected, unsafe_route, rejected_once,
            call_state(may_have_run, true))
            .what == action::send_again);
    cr_assert(
        after_plain_call(
            call_end::rejected, unsafe_route, rejected_once,
            call_state(may_have_run, false))
            .what == action::give_up);
}

Test(attempts, too_many_rejections_end_a_request) {
    const attempts three{.rejections = 3};
    const attempts four{.rejections = 4};
    cr_assert(
        after_plain_call(
            call_end::rejected, safe_route, three, call_state(not_run, true))
            .what == action::send_again);
    cr_assert(
        after_plain_call(
            call_end::rejected, safe_route, four, call_state(not_run, true))
            .what == action::give_up);
    cr_assert(
        after_decode_call(call_end::rejected, stream_route, three).what ==
        action::send_again);
    cr_assert(
        after_decode_call(call_end::rejected, stream_route, four).what ==
        action::give_up);
}

Test(attempts, failed_connections_consume_no_retry) {
    const attempts four{.unreachable = 4};
    const auto step = after_plain_call(
        call_end::unreachable, unsafe_route, four, call_state(not_run));
    cr_assert(step.what == action::send_again);
    cr_assert(!step.costs_retry);
    const attempts five{.unreachable = 5};
    const auto last = after_plain_call(
        call_end::unreachable, unsafe_route, five, call_state(not_run));
    cr_assert(last.what == action::give_up);
    cr_assert(last.server_out_of_reach);
}

Test(attempts, a_stream_pauses_after_failed_connections) {
    const attempts three{.unreachable = 3};
    const attempts four{.unreachable = 4};
    cr_assert(
        after_decode_call(call_end::unreachable, stream_route, three).what ==
        action::send_again);
    cr_assert(
        after_decode_call(call_end::unreachable, stream_route, four).what ==
        action::pause);
}

Test(attempts, a_server_error_is_delivered_if_it_cannot_be_retried) {
    const attempts once{.runs = 1};
    const attempts twice{.runs = 2};
    const auto first = after_plain_call(
        call_end::server_failure, safe_route, once, call_state(ran));
    cr_assert(first.what == action::send_again);
    cr_assert(first.otherwise == action::deliver);
    cr_assert(
        after_plain_call(
            call_end::server_failure, safe_route, twice, call_state(ran))
            .what == action::deliver);
    plain_call_state out_of_time = call_state(ran);
    out_of_time.time_left = base::milliseconds{0};
    cr_assert(
        after_plain_call(
            call_end::server_failure, safe_route, once, out_of_time)
            .what == action::deliver);
}

Test(attempts, a_bad_answer_is_never_delivered) {
    const attempts twice{.runs = 2};
    const auto plain = after_plain_call(
        call_end::bad_answer, safe_route, twice, call_state(ran));
    cr_assert(plain.what == action::give_up);
    cr_assert(plain.reason == "bad_answer");
    const auto stream =
        after_decode_call(call_end::bad_answer, stream_route, twice);
    cr_assert(stream.what == action::give_up);
    cr_assert(stream.reason == "bad_answer");
}

Test(attempts, an_answer_that_has_begun_is_broken_off) {
    const attempts begun{.runs = 1, .answer_begun = true};
    cr_assert(
        after_plain_call(
            call_end::broken_off, safe_route, begun, call_state(ran))
            .what == action::break_off);
    for (const auto end :
         {call_end::broken_off, call_end::server_failure, call_end::bad_answer})
        cr_assert(
            after_decode_call(end, stream_route, begun).what ==
            action::break_off);
    cr_assert(after_allowance_spent(begun, false).what == action::break_off);
    cr_assert(after_allowance_spent({}, false).what == action::give_up);
}

Test(attempts, only_a_resumable_stream_continues_on_another_engine) {
    const attempts begun{.runs = 1, .answer_begun = true};
    const traffic::route resumable = resumable_route();
    for (const auto end : {call_end::broken_off, call_end::server_failure})
        cr_assert(
            after_decode_call(end, resumable, begun).what == action::resume);
    const attempts used_up{.runs = 2, .answer_begun = true};
    cr_assert(
        after_decode_call(call_end::broken_off, resumable, used_up).what ==
        action::break_off);
}

Test(attempts, silence_alone_never_ends_a_stream) {
    const attempts once{.runs = 1};
    cr_assert(
        after_decode_call(call_end::silent, stream_route, once).what ==
        action::keep_waiting);
    const auto step =
        after_decode_call(call_end::silent, resumable_route(), once);
    cr_assert(step.what == action::resume);
    cr_assert(step.costs_retry);
    cr_assert(step.otherwise == action::keep_waiting);
}

Test(attempts, a_second_rejection_makes_the_result_suspect) {
    cr_assert(needs_separate_prefill({.rejections = 1}, false));
    cr_assert(!needs_separate_prefill({.rejections = 2}, false));
    cr_assert(!is_result_suspect({.rejections = 1}));
    cr_assert(is_result_suspect({.rejections = 2}));
}

Test(attempts, prefills_are_bounded_and_not_needed_with_a_kept_result) {
    cr_assert(needs_separate_prefill({.prefills = 2}, false));
    cr_assert(!needs_separate_prefill({.prefills = 3}, false));
    cr_assert(!needs_separate_prefill({}, true));
}

Test(attempts, a_tried_engine_may_be_reused_unless_one_rejected) {
    cr_assert(may_reuse_tried_engine({.unreachable = 1}));
    cr_assert(!may_reuse_tried_engine({.rejections = 1}));
}

// Guards against a request that is at one engine twice while it pauses.
Test(attempts, a_silent_engine_is_reused_only_after_a_long_silence) {
    cr_assert(!may_reuse_silent_engine({}, base::milliseconds(1999)));
    cr_assert(may_reuse_silent_engine({}, base::milliseconds(2000)));
    cr_assert(
        !may_reuse_silent_engine({.rejections = 1}, base::milliseconds(2000)));
}

Test(attempts, only_answers_and_refusals_end_a_request) {
    for (const action what :
         {action::deliver, action::give_up, action::break_off})
        cr_assert(ends_request(what));
    for (const action what :
         {action::send_again, action::resume, action::pause, action::await_loan,
          action::keep_waiting})
        cr_assert(!ends_request(what));
}

Test(attempts, waits_for_borrowed_retries_are_bounded) {
    attempts so_far;
    int waits = 0;
    while (after_allowance_spent(so_far, true).what == action::await_loan) {
        ++so_far.loan_waits;
        cr_assert(++waits <= 2);
    }
    cr_assert(waits == 2);
    cr_assert(after_allowance_spent(so_far, true).what == action::give_up);
    cr_assert(after_allowance_spent({}, false).what == action::give_up);
}
