/// @file
/// Decides whether a request is retried, resumed on another engine or ended.
///
/// An exchange counts its calls in `attempts` and asks for the next step after
/// each call. It carries out that step and uses the reason of the step in the
/// log line, the metric and the refusal. This file performs no I/O.
#ifndef MINTKNOT_POLICY_ATTEMPTS_HPP
#define MINTKNOT_POLICY_ATTEMPTS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/base/verdict.hpp>
#include <mintknot/traffic/configuration.hpp>

#include <string_view>

namespace mintknot::policy {

/// Outcome of a call to a server, as needed to choose the next step.
enum class call_end {
    answered,       ///< A valid answer.
    server_failure, ///< A valid answer that reports a server error; from a
                    ///< decode engine, any answer that is not a stream.
    bad_answer,     ///< A complete answer that cannot be forwarded.
    rejected,       ///< The server reports that it did not run the request.
    unreachable,    ///< The connection failed; nothing was sent.
    broken_off,     ///< The connection closed before the answer was complete.
    silent,         ///< Still open, but no data for longer than expected.
    no_server,      ///< No call was made, as no server accepts requests.
};

/// What an exchange does next.
enum class action {
    deliver,      ///< Forward the received answer and end.
    send_again,   ///< Choose another server and send the request to it.
    resume,       ///< Choose another engine and continue after the last event.
    pause,        ///< Wait briefly, then choose again.
    await_loan,   ///< Wait loan_pause for retries lent by peers, then choose.
    keep_waiting, ///< Keep waiting for the current call.
    give_up,      ///< Refuse with the reason; the verdict decides the status.
    break_off,    ///< End an answer that has begun, recognizably incomplete.
};

/// The next step of a request and the reason for it.
struct next_step {
    action what = action::give_up;
    /// Code in log lines, metrics and refusals; points to static storage.
    std::string_view reason;
    /// The step consumes one retry of the allowance. If none is left,
    /// `otherwise` is done instead, with `otherwise_reason`.
    bool costs_retry = false;
    action otherwise = action::give_up;
    std::string_view otherwise_reason;
    /// For give_up: no server was reachable. The caller is told to retry after
    /// a time equal to the duration of the outage so far.
    bool server_out_of_reach = false;
};

/// Calls made for one request so far, including the one that has just ended.
struct attempts {
    int runs = 0;              ///< Calls that a server may have executed.
    int rejections = 0;        ///< Calls that servers rejected.
    int unreachable = 0;       ///< Connections that failed.
    int prefills = 0;          ///< Prefill calls; zero for plain requests.
    int loan_waits = 0;        ///< Waits for retries lent by peers.
    bool answer_begun = false; ///< Part of an answer was sent to the caller.
};

/// How long a request waits for retries lent by peers: several round trips
/// between data centres.
inline constexpr base::milliseconds loan_pause{15};

/// @return true if the request may run on another server even if one may have
/// executed it already: the route allows it and has attempts left.
bool may_run_again(const traffic::route& route, const attempts& so_far);

/// State of a plain request after a call, in addition to its counts.
struct plain_call_state {
    base::verdict verdict = base::verdict::not_run;
    bool says_not_executed = false; ///< Stated by the latest answer.
    base::milliseconds time_left{0};
};

/// @return the next step of a plain request. It is retried if no server has
/// executed it or the route allows it to run twice. A server error is forwarded
/// to the caller if it cannot be retried.
/// Log events: `sent`, `given_up`, `broken_off`.
next_step after_plain_call(
    call_end end, const traffic::route& route, const attempts& so_far,
    const plain_call_state& state);

/// @return the next step of a generation request after its decode call. A
/// rejected request is placed again; a resumable stream continues on another
/// engine; any other request that may have run is ended. Precondition: the call
/// has failed. Missing capacity is handled in admission.hpp.
/// Log events: `decode_rejected`, `resumed`, `given_up`, `broken_off`.
next_step after_decode_call(
    call_end end, const traffic::route& route, const attempts& so_far);

/// @return the next step of a generation request that needs a retry when the
/// allowance is spent.
/// @param may_borrow true if peers have been asked to lend retries.
next_step after_allowance_spent(const attempts& so_far, bool may_borrow);

/// @return true if the prompt is to be processed by a prefill engine: no
/// prefill result is kept, prefills are left, and the result is not suspect.
bool needs_separate_prefill(const attempts& so_far, bool result_kept);

/// @return true if a kept prefill result must not be used any more: decode
/// engines have rejected the request twice, which points at the result as the
/// cause rather than at the engines.
bool is_result_suspect(const attempts& so_far);

/// @return true if an already tried decode engine may be chosen again when
/// there is no other one: no engine has rejected the request.
bool may_reuse_tried_engine(const attempts& so_far);

/// The same while an engine has not answered the request for the given time and
/// may still go on: that engine must not be asked twice before it is certain
/// that no sound engine is silent for so long.
bool may_reuse_silent_engine(
    const attempts& so_far, base::milliseconds silent_for);

/// @return true if the request ends with this step.
bool ends_request(action what);

} // namespace mintknot::policy

#endif
