#include <mintknot/policy/attempts.hpp>

namespace mintknot::policy {

namespace {

/// Rejections after which a request is not placed any more. An instance's view
/// of loads is some 60 ms old, so that a few in a row happen.
constexpr int max_rejections = 3;
/// Connections that may fail in a row. A plain request is then given up, a
/// generation request waits a moment.
constexpr int max_unreachable_plain = 4;
constexpr int max_unreachable_decode = 3;
/// Prefills of one request, lost ones included. Each read of a prompt that is
/// not used costs a prefill engine its whole time.
constexpr int max_prefills = 3;
/// Pauses of one request for repeats of peers: those of a second question, if
/// the first found nothing.
constexpr int max_loan_waits = 2;
/// Rejections from which on the kept result is suspected.
constexpr int rejections_to_distrust_result = 2;

/// Ends a request: once an answer has begun, it can only be broken off.
next_step ends(std::string_view reason, const attempts& so_far) {
    return {so_far.answer_begun ? action::break_off : action::give_up, reason};
}

next_step gives_up(std::string_view reason) {
    return {action::give_up, reason};
}

/// Gives up because no server is within reach.
next_step out_of_reach(std::string_view reason) {
    return {action::give_up, reason, false, action::give_up, {}, true};
}

/// Sends again at the price of one repeat, or does something else.
next_step repeats(
    std::string_view reason, action otherwise,
    std::string_view otherwise_reason) {
    return {action::send_again, reason, true, otherwise, otherwise_reason};
}

/// Nothing may have run, or running twice is allowed.
bool may_send_again(
    const traffic::route& route, const attempts& so_far,
    const plain_situation& now) {
    return now.says_not_executed || may_run_again(route, so_far) ||
           now.verdict == base::verdict::not_run;
}

next_step after_plain_loss(
    std::string_view reason, const traffic::route& route,
    const attempts& so_far, const plain_situation& now) {
    if (!may_send_again(route, so_far, now))
        return gives_up(reason);
    return repeats(reason, action::give_up, reason);
}

/// A server's own failure: another server may do better.
next_step after_plain_failure(
    call_end end, const traffic::route& route, const attempts& so_far,
    const plain_situation& now) {
    const bool bad = end == call_end::bad_answer;
    const action last = bad ? action::give_up : action::deliver;
    const std::string_view why = bad ? "bad_answer" : "server_failure";
    if (!may_run_again(route, so_far) || now.time_left <= base::milliseconds{0})
        return {last, why};
    return repeats("server_failure", last, why);
}

/// Goes on at another engine, or ends. A stream may run again only where its
/// route is resumable.
next_step resumes(
    std::string_view reason, const traffic::route& route,
    const attempts& so_far) {
    if (may_run_again(route, so_far))
        return {action::resume, reason};
    return ends(reason, so_far);
}

next_step after_decode_failure(
    call_end end, const traffic::route& route, const attempts& so_far) {
    const next_step step = resumes("decode_failed", route, so_far);
    if (step.what != action::give_up)
        return step;
    if (end == call_end::bad_answer)
        return gives_up("bad_answer");
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
    const plain_situation& now) {
    switch (end) {
    case call_end::answered:
        return {action::deliver, "answered"};
    case call_end::server_failure:
    case call_end::bad_answer:
        return after_plain_failure(end, route, so_far, now);
    case call_end::rejected:
        if (so_far.rejections > max_rejections)
            return gives_up("server_rejected");
        return after_plain_loss("server_rejected", route, so_far, now);
    case call_end::unreachable:
        // Nothing was sent: another try costs no repeat.
        if (so_far.unreachable > max_unreachable_plain)
            return out_of_reach("server_unreachable");
        return {action::send_again, "server_unreachable"};
    case call_end::broken_off:
        if (so_far.answer_begun)
            return {action::break_off, "server_broke_off"};
        return after_plain_loss("server_broke_off", route, so_far, now);
    case call_end::silent:
        if (!may_run_again(route, so_far))
            return {action::keep_waiting, "server_silent"};
        return repeats("server_silent", action::keep_waiting, "server_silent");
    case call_end::no_server:
        return out_of_reach("no_backend_server");
    }
    return gives_up("unknown");
}

next_step after_decode_call(
    call_end end, const traffic::route& route, const attempts& so_far) {
    switch (end) {
    case call_end::server_failure:
    case call_end::bad_answer:
        return after_decode_failure(end, route, so_far);
    case call_end::rejected:
        if (so_far.rejections > max_rejections)
            return ends("decode_rejected", so_far);
        return {action::send_again, "decode_rejected"};
    case call_end::unreachable:
        if (so_far.unreachable > max_unreachable_decode)
            return {action::pause, "server_unreachable"};
        return {action::send_again, "server_unreachable"};
    case call_end::broken_off:
        return resumes("decode_broke_off", route, so_far);
    case call_end::silent:
        return after_decode_silence(route, so_far);
    case call_end::answered:
    case call_end::no_server:
        break; // Excluded by the precondition.
    }
    return ends("unknown", so_far);
}

next_step without_allowance(const attempts& so_far, bool may_borrow) {
    if (may_borrow && so_far.loan_waits < max_loan_waits)
        return {action::await_loan, "retry_allowance_spent"};
    return ends("retry_allowance_spent", so_far);
}

bool reads_prompt_apart(const attempts& so_far, bool result_kept) {
    return so_far.prefills < max_prefills && !result_kept &&
           !distrusts_result(so_far);
}

bool distrusts_result(const attempts& so_far) {
    return so_far.rejections >= rejections_to_distrust_result;
}

bool may_return_to_engine(const attempts& so_far) {
    return so_far.rejections == 0;
}

} // namespace mintknot::policy
