#include <mintknot/policy/attempts.hpp>

namespace mintknot::policy {

namespace {

/// Maximum number of rejections that a request is retried after. The load data
/// of an instance is about 60 ms old, so a few successive ones are normal.
constexpr int max_rejections = 3;
/// Maximum number of failed connections. Beyond it, a plain request is given up
/// and a generation request waits briefly.
constexpr int max_unreachable_plain = 4;
constexpr int max_unreachable_decode = 3;
/// Maximum number of prefills per request, including lost ones. Each unused
/// prefill occupies a prefill engine for the whole time of the prompt.
constexpr int max_prefills = 3;
/// Maximum number of waits of a request for retries lent by peers: the second
/// wait allows for another query if the first one obtained nothing.
constexpr int max_loan_waits = 2;
/// Number of rejections from which the kept prefill result is suspect.
constexpr int rejections_to_suspect_result = 2;
/// A sound engine writes again after a shorter silence.
constexpr base::milliseconds max_sound_silence{2000};

/// Ends a request. An answer that has begun can only be broken off.
next_step end_request(std::string_view reason, const attempts& so_far) {
    return {so_far.answer_begun ? action::break_off : action::give_up, reason};
}

next_step make_give_up(std::string_view reason) {
    return {action::give_up, reason};
}

/// Gives up because no server is reachable.
next_step give_up_unreachable(std::string_view reason) {
    return {action::give_up, reason, false, action::give_up, {}, true};
}

/// Sends again if a retry is left, otherwise takes the alternative step.
next_step retry_or(
    std::string_view reason, action otherwise,
    std::string_view otherwise_reason) {
    return {action::send_again, reason, true, otherwise, otherwise_reason};
}

/// @return true if no server has executed the request or it may run twice.
bool may_send_again(
    const traffic::route& route, const attempts& so_far,
    const plain_call_state& state) {
    return state.says_not_executed || may_run_again(route, so_far) ||
           state.verdict == base::verdict::not_run;
}

next_step after_plain_loss(
    std::string_view reason, const traffic::route& route,
    const attempts& so_far, const plain_call_state& state) {
    if (!may_send_again(route, so_far, state))
        return make_give_up(reason);
    return retry_or(reason, action::give_up, reason);
}

/// Retries on another server after a server error.
next_step after_plain_failure(
    call_end end, const traffic::route& route, const attempts& so_far,
    const plain_call_state& state) {
    const bool bad = end == call_end::bad_answer;
    const action last = bad ? action::give_up : action::deliver;
    const std::string_view why = bad ? "bad_answer" : "server_failure";
    if (!may_run_again(route, so_far) ||
        state.time_left <= base::milliseconds{0})
        return {last, why};
    return retry_or("server_failure", last, why);
}

/// Resumes on another engine or ends. Only streams of resumable routes may run
/// again.
next_step resume_or_end(
    std::string_view reason, const traffic::route& route,
    const attempts& so_far) {
    if (may_run_again(route, so_far))
        return {action::resume, reason};
    return end_request(reason, so_far);
}

next_step after_decode_failure(
    call_end end, const traffic::route& route, const attempts& so_far) {
    const next_step step = resume_or_end("decode_failed", route, so_far);
    if (step.what != action::give_up)
        return step;
    if (end == call_end::bad_answer)
        return make_give_up("bad_answer");
    return {action::deliver, step.reason};
}

next_step
after_decode_silence(const traffic::route& route, const attempts& so_far) {
    if (!may_run_again(route, so_far))
        return {action::keep_waiting, "decode_silent"};
    return {
        action::resume, "decode_silent", true, action::keep_waiting,
        "decode_silent"};
}

} // namespace

bool may_run_again(const traffic::route& route, const attempts& so_far) {
    return route.repeatable() && so_far.runs < route.max_attempts;
}

next_step after_plain_call(
    call_end end, const traffic::route& route, const attempts& so_far,
    const plain_call_state& state) {
    switch (end) {
    case call_end::answered:
        return {action::deliver, "answered"};
    case call_end::server_failure:
    case call_end::bad_answer:
        return after_plain_failure(end, route, so_far, state);
    case call_end::rejected:
        if (so_far.rejections > max_rejections)
            return make_give_up("server_rejected");
        return after_plain_loss("server_rejected", route, so_far, state);
    case call_end::unreachable:
        // Nothing was sent, so another attempt consumes no retry.
        if (so_far.unreachable > max_unreachable_plain)
            return give_up_unreachable("server_unreachable");
        return {action::send_again, "server_unreachable"};
    case call_end::broken_off:
        if (so_far.answer_begun)
            return {action::break_off, "server_broke_off"};
        return after_plain_loss("server_broke_off", route, so_far, state);
    case call_end::silent:
        if (!may_run_again(route, so_far))
            return {action::keep_waiting, "server_silent"};
        return retry_or("server_silent", action::keep_waiting, "server_silent");
    case call_end::no_server:
        return give_up_unreachable("no_backend_server");
    }
    return make_give_up("unknown");
}

next_step after_decode_call(
    call_end end, const traffic::route& route, const attempts& so_far) {
    switch (end) {
    case call_end::server_failure:
    case call_end::bad_answer:
        return after_decode_failure(end, route, so_far);
    case call_end::rejected:
        if (so_far.rejections > max_rejections)
            return end_request("decode_rejected", so_far);
        return {action::send_again, "decode_rejected"};
    case call_end::unreachable:
        if (so_far.unreachable > max_unreachable_decode)
            return {action::pause, "server_unreachable"};
        return {action::send_again, "server_unreachable"};
    case call_end::broken_off:
        return resume_or_end("decode_broke_off", route, so_far);
    case call_end::silent:
        return after_decode_silence(route, so_far);
    case call_end::answered:
    case call_end::no_server:
        break; // Excluded by the precondition.
    }
    return end_request("unknown", so_far);
}

next_step after_allowance_spent(const attempts& so_far, bool may_borrow) {
    if (may_borrow && so_far.loan_waits < max_loan_waits)
        return {action::await_loan, "retry_allowance_spent"};
    return end_request("retry_allowance_spent", so_far);
}

bool needs_separate_prefill(const attempts& so_far, bool result_kept) {
    return so_far.prefills < max_prefills && !result_kept &&
           !is_result_suspect(so_far);
}

bool is_result_suspect(const attempts& so_far) {
    return so_far.rejections >= rejections_to_suspect_result;
}

bool may_reuse_tried_engine(const attempts& so_far) {
    return so_far.rejections == 0;
}

bool may_reuse_silent_engine(
    const attempts& so_far, base::milliseconds silent_for) {
    return silent_for >= max_sound_silence && may_reuse_tried_engine(so_far);
}

bool ends_request(action what) {
    return what == action::deliver || what == action::give_up ||
           what == action::break_off;
}

} // namespace mintknot::policy
