/// @file
/// Whether a request is sent again, goes on elsewhere or is given up.
///
/// An exchange counts its calls in a struct of this file and asks after each
/// call what comes next; it carries out the answer and takes its reason for
/// the log line, the metric and the refusal alike. Nothing here does I/O.
#ifndef MINTKNOT_POLICY_ATTEMPTS_HPP
#define MINTKNOT_POLICY_ATTEMPTS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/base/verdict.hpp>
#include <mintknot/traffic/configuration.hpp>

#include <string_view>

namespace mintknot::policy {

/// How a call to a server has ended, as far as the next step depends on it.
enum class call_end {
    answered,       ///< A proper answer.
    server_failure, ///< A proper answer that says that the server has failed;
                    ///< from a decode engine, any that is no stream.
    bad_answer,     ///< A whole answer that cannot be passed on.
    rejected,       ///< The server says that it has not run the request.
    unreachable,    ///< No connection came up; nothing was sent.
    broken_off,     ///< The connection ended before the answer did.
    silent,         ///< Still open, but silent for longer than expected.
    no_server,      ///< No call was made: no server takes requests.
};

/// What an exchange does next.
enum class action {
    deliver,      ///< Pass the answer at hand on and end.
    send_again,   ///< Choose another server and send.
    resume,       ///< Choose another engine and go on behind the last event.
    pause,        ///< Wait a moment, then choose again.
    await_loan,   ///< Wait loan_pause for repeats of peers, then choose again.
    keep_waiting, ///< Leave the call as it is.
    give_up,      ///< Answer with the reason; the verdict decides the status.
    break_off,    ///< The answer has begun: end it visibly incomplete.
};

/// The next step and why.
struct next_step {
    action what = action::give_up;
    /// Code in log lines, metrics and refusals; refers to static text.
    std::string_view reason;
    /// The step costs one repeat of the allowance. Where that is spent,
    /// `otherwise` is done instead, for `otherwise_reason`.
    bool costs_retry = false;
    action otherwise = action::give_up;
    std::string_view otherwise_reason;
    /// For give_up: no server was within reach. The caller is told to come back
    /// after as long as the outage has lasted (retry_after.hpp).
    bool server_out_of_reach = false;
};

/// What has become of one request so far. Counts include the call that has
/// just ended.
struct attempts {
    int runs = 0;              ///< Calls that a server may have run.
    int rejections = 0;        ///< Calls that servers turned away.
    int unreachable = 0;       ///< Connections that did not come up.
    int prefills = 0;          ///< Prefill calls; plain requests have none.
    int loan_waits = 0;        ///< Pauses for repeats that peers may lend.
    bool answer_begun = false; ///< The caller has got a part of an answer.
};

/// How long a request waits for repeats that peers may lend: some times the way
/// there and back between data centres.
inline constexpr base::milliseconds loan_pause{15};

/// @return true if the request may run on one more server although it may have
/// run on one: the route allows it and its attempts are not used up.
bool may_run_again(const traffic::route& route, const attempts& so_far);

/// The state of a plain request beside its counts.
struct plain_call_state {
    base::verdict verdict = base::verdict::not_run;
    bool says_not_executed = false; ///< The last answer, if any came.
    base::milliseconds time_left{0};
};

/// The next step of a plain request. Its calls are repeated where nothing has
/// run, or where the route lets a request run twice; a server's own failure is
/// delivered where it cannot be mended.
/// Log events: `sent`, `given_up`, `broken_off`.
next_step after_plain_call(
    call_end end, const traffic::route& route, const attempts& so_far,
    const plain_call_state& state);

/// The next step of a generation request after its decode call. What an engine
/// rejects is placed again; a resumable stream goes on elsewhere; any other
/// that may have run ends. Precondition: the call has gone wrong. A stream that
/// is whole needs no rule, and want of room is decided in admission.hpp.
/// Log events: `decode_rejected`, `resumed`, `given_up`, `broken_off`.
next_step after_decode_call(
    call_end end, const traffic::route& route, const attempts& so_far);

/// The next step of a generation request whose next call the allowance does not
/// cover. @param may_borrow whether peers have been asked for repeats.
next_step after_allowance_spent(const attempts& so_far, bool may_borrow);

/// @return true if a prompt is to be read by a prefill engine: no result is
/// kept, prefills are left, and decode engines have not rejected the request
/// twice. A second rejection points at the result rather than at the engines.
bool needs_separate_prefill(const attempts& so_far, bool result_kept);

/// @return true if a kept result is not to be handed over any more.
bool is_result_suspect(const attempts& so_far);

/// @return true if a decode engine that has been tried may be chosen again
/// where there is no other: none has rejected the request yet.
bool may_reuse_tried_engine(const attempts& so_far);

} // namespace mintknot::policy

#endif
