/// @file
/// Whether a request that finds no room waits or is refused at once.
///
/// The forecast of room is as old as the loads it is made from: own ones are
/// exact, those of peers 60 ms old or more (traffic/load_view.hpp).
#ifndef MINTKNOT_POLICY_ADMISSION_HPP
#define MINTKNOT_POLICY_ADMISSION_HPP

#include <mintknot/base/time.hpp>

#include <optional>

namespace mintknot::policy {

/// The longest deadline that callers have named lately on one route: what a
/// request brings that has not been refused before.
struct longest_deadline {
    base::milliseconds value{0};
    base::steady_time seen{};
};

void note_deadline(
    longest_deadline& longest, base::milliseconds deadline,
    base::steady_time now);

/// @return true if a caller with that deadline has spent a part of it already,
/// and so has been refused before.
bool has_returned(
    const longest_deadline& longest,
    std::optional<base::milliseconds> deadline);

/// A request that finds no room.
struct unplaced_request {
    base::milliseconds waited{0}; ///< Since its arrival.
    base::milliseconds target{0}; ///< Of its first event.
    /// Until its deadline, or until its caller is expected to leave.
    base::milliseconds time_left{0};
    bool begun = false; ///< An engine has worked, or may work, for it.
};

/// @return true if an answer is still expected in time for the target.
bool can_meet_target(
    const unplaced_request& request,
    std::optional<base::milliseconds> expected_wait, base::milliseconds start);

/// Decides by what callers gain; log events `no_room` and `given_up`. A request
/// waits where it is expected to meet its target; else it is refused at once,
/// for the room that it took later would be missed by one that can. That holds
/// also for a caller that has been refused before: where such requests waited
/// until their deadline, 1.1 in 100 fewer first tries met their target (thirty
/// plays). Once an engine has read the prompt, the request waits where an
/// answer is expected before its deadline.
///
/// Against a fixed wait of a fifth of the target (three fifths for requests
/// that came back), of 100 first tries on three deployments 0.5, 1.0 and 0.7
/// more met their target, and the time for which requests were held and then
/// refused fell by a quarter to a third (thirty plays each).
///
/// @param expected_wait nothing: no room is to be foreseen.
/// @param start from a placement to the first event.
bool should_wait(
    const unplaced_request& request,
    std::optional<base::milliseconds> expected_wait, base::milliseconds start);

/// @return how long a caller of a stream waits for the first event: four times
/// the target, eight times the longest pause between events, two seconds at
/// least, as the users' callers do. Whoever has not been answered by then has
/// left, and a refusal that would have brought it back comes too late.
base::milliseconds
first_event_patience(base::milliseconds target, base::milliseconds target_gap);

/// Pause after some connections in a row have failed, for requests that wait:
/// short against the time for which a server is avoided that could not be
/// reached.
inline constexpr base::milliseconds unreachable_pause{100};

} // namespace mintknot::policy

#endif
