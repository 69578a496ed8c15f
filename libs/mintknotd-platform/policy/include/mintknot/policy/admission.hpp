/// @file
/// Admission control: whether a request for which no server is free waits or is
/// refused at once.
///
/// The wait is forecast from server loads (traffic/load_view.hpp): this
/// instance's own loads are exact, those of peers are 60 ms old or more.
#ifndef MINTKNOT_POLICY_ADMISSION_HPP
#define MINTKNOT_POLICY_ADMISSION_HPP

#include <mintknot/base/time.hpp>

#include <optional>

namespace mintknot::policy {

/// The longest deadline that callers have recently sent on one route, which is
/// the deadline of a request that has not been refused before.
struct longest_deadline {
    base::milliseconds value{0};
    base::steady_time seen{};
};

void note_deadline(
    longest_deadline& longest, base::milliseconds deadline,
    base::steady_time now);

/// @return true if the deadline is clearly shorter than the longest one: the
/// caller has spent part of it on an earlier, refused try.
bool was_refused_before(
    const longest_deadline& longest,
    std::optional<base::milliseconds> deadline);

/// A request for which no server is free.
struct unplaced_request {
    base::milliseconds waited{0}; ///< Since its arrival.
    base::milliseconds target{0}; ///< For the time to its first event.
    /// Until its deadline, or until its caller is expected to disconnect.
    base::milliseconds time_left{0};
    bool begun = false; ///< An engine has processed the request or may have.
};

/// @return true if the first event is still expected within the target latency.
/// @param expected_wait until the request can be placed; nothing: no server is
/// expected to become free.
/// @param start expected time from placement to the first event.
bool can_meet_target(
    const unplaced_request& request,
    std::optional<base::milliseconds> expected_wait, base::milliseconds start);

/// Decides whether a request waits for a server or is refused; see the log
/// events `no_room` and `given_up`. A request waits if it is expected to meet
/// its target. Otherwise it is refused at once, because the capacity that it
/// would take later is then missing for a request that can still meet its
/// target. This also holds for callers that have been refused before: letting
/// them wait until their deadline made 1.1 in 100 fewer first tries meet their
/// target (thirty simulated runs). Once an engine has read the prompt, the
/// request waits if an answer is expected before its deadline.
///
/// Compared with a fixed wait of a fifth of the target (three fifths for
/// callers that came back), 0.5, 1.0 and 0.7 more of 100 first tries met their
/// target on three deployments, and the time for which requests were held and
/// then refused fell by a quarter to a third (thirty simulated runs each).
///
/// @param expected_wait until the request can be placed; nothing: no server is
/// expected to become free.
/// @param start expected time from placement to the first event.
bool should_wait(
    const unplaced_request& request,
    std::optional<base::milliseconds> expected_wait, base::milliseconds start);

/// @return how long the caller of a stream is assumed to wait for the first
/// event: four times the target latency or eight times the target gap between
/// events, whichever is longer, but at least two seconds. This is the rule that
/// the callers themselves use. After that time the caller has disconnected, and
/// a refusal would come too late to make it try again.
base::milliseconds caller_first_event_timeout(
    base::milliseconds target, base::milliseconds target_gap);

/// Delay before a waiting request tries to connect again after several failed
/// connections in a row. Short compared with the time for which an unreachable
/// server is avoided.
inline constexpr base::milliseconds unreachable_retry_delay{100};

} // namespace mintknot::policy

#endif
