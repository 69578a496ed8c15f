#include <mintknot/policy/admission.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// How long a deadline counts as the longest one: some times the longest that
/// callers name.
constexpr base::milliseconds deadline_life{30000};
/// A caller that was refused comes back with so much less time at least: the
/// shortest time that a refusal tells, less a margin for callers that hurry.
constexpr base::milliseconds min_time_spent{200};

/// See first_event_patience().
constexpr base::milliseconds min_patience{2000};
constexpr int targets_of_patience = 4;
constexpr int gaps_of_patience = 8;

} // namespace

base::milliseconds
first_event_patience(base::milliseconds target, base::milliseconds target_gap) {
    return std::max(
        {min_patience, target * targets_of_patience,
         target_gap * gaps_of_patience});
}

void note_deadline(
    longest_deadline& longest, base::milliseconds deadline,
    base::steady_time now) {
    if (deadline < longest.value && now - longest.seen < deadline_life)
        return;
    longest.value = deadline;
    longest.seen = now;
}

bool has_returned(
    const longest_deadline& longest,
    std::optional<base::milliseconds> deadline) {
    return deadline && *deadline + min_time_spent < longest.value;
}

bool can_meet_target(
    const unplaced_request& request,
    std::optional<base::milliseconds> expected_wait, base::milliseconds start) {
    return expected_wait &&
           request.waited + *expected_wait + start <= request.target;
}

bool should_wait(
    const unplaced_request& request,
    std::optional<base::milliseconds> expected_wait, base::milliseconds start) {
    if (!expected_wait)
        return false;
    if (request.begun)
        return *expected_wait + start < request.time_left;
    return can_meet_target(request, expected_wait, start);
}

} // namespace mintknot::policy
