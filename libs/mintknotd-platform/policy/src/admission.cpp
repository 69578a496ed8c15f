#include <mintknot/policy/admission.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// How long a deadline counts as the longest one: a few times the longest
/// deadline that callers use.
constexpr base::milliseconds deadline_lifetime{30000};
/// A caller that was refused comes back with at least this much less time: the
/// shortest Retry-After, less a margin for callers that come back early.
constexpr base::milliseconds min_time_spent{200};

/// See caller_first_event_timeout().
constexpr base::milliseconds min_caller_timeout{2000};
constexpr int targets_per_caller_timeout = 4;
constexpr int gaps_per_caller_timeout = 8;

} // namespace

base::milliseconds caller_first_event_timeout(
    base::milliseconds target, base::milliseconds target_gap) {
    return std::max(
        {min_caller_timeout, target * targets_per_caller_timeout,
         target_gap * gaps_per_caller_timeout});
}

void note_deadline(
    longest_deadline& longest, base::milliseconds deadline,
    base::steady_time now) {
    if (deadline < longest.value && now - longest.seen < deadline_lifetime)
        return;
    longest.value = deadline;
    longest.seen = now;
}

bool was_refused_before(
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
