/// @file
/// Ends of an exchange from outside: the caller leaves, its time is over, or
/// the instance stops.

#include "end_check.hpp"

#include <mintknot/policy/drain.hpp>
#include <mintknot/relay/exchange.hpp>

namespace mintknot::relay {

namespace {

constexpr int status_unavailable = 503;
constexpr std::string_view reason_stopping = "stopping";

} // namespace

void exchange::on_caller_disconnected() {
    if (finished_)
        return;
    note_running_calls();
    cancel_calls();
    finish("caller_left");
}

void exchange::on_deadline() {
    note_running_calls();
    if (end_check_ != nullptr)
        context_.log.write("end_unchecked", {{"request", request_.terms.id}});
    cancel_calls();
    if (attempts_.answer_begun)
        abort_answer("deadline_passed");
    else
        give_up("deadline_passed");
}

void exchange::note_running_calls() {
    if (may_be_running())
        raise_verdict(base::verdict::may_have_run);
}

bool exchange::ensure_in_time() {
    const router_state& state = context_.state;
    const bool may_have_run =
        verdict_ != base::verdict::not_run || attempts_.answer_begun;
    if (!state.stopping || may_have_run)
        return true;
    const auto since = std::chrono::duration_cast<base::milliseconds>(
        context_.loop.now() - state.stop_began);
    if (policy::may_start_while_draining(time_left(), since, state.grace))
        return true;
    refuse(
        status_unavailable, reason_stopping, policy::entry_refusal_retry_after);
    return false;
}

void exchange::refuse_if_too_late() {
    if (!finished_ && !may_be_running())
        ensure_in_time();
}

void exchange::end_at_stop() {
    if (finished_)
        return;
    note_running_calls();
    cancel_calls();
    if (attempts_.answer_begun)
        abort_answer(reason_stopping);
    else
        give_up(reason_stopping, policy::entry_refusal_retry_after);
}

} // namespace mintknot::relay
