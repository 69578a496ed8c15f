#include <mintknot/policy/admission.hpp>

#include <algorithm>
#include <cstdint>

namespace mintknot::policy {

namespace {

/// How long a deadline counts as the longest one: some times the longest that
/// callers name.
constexpr base::milliseconds deadline_life{30000};
/// A caller that was refused comes back with so much less time at least: the
/// shortest time that a refusal tells, less a margin for callers that hurry.
constexpr base::milliseconds min_time_spent{200};
/// No caller is told to come back sooner: room is looked for again and again
/// within that time anyway.
constexpr base::milliseconds min_return{250};
/// Part of the room that is set free which callers who come back may take; the
/// rest goes to fresh requests. Of 0.1, 0.2 and 0.5 it served as many first
/// tries in time as the first and more than the last (83.9, 83.7 and 83.4 in
/// 100, thirty plays or more), and told callers the shorter time.
constexpr double returning_share = 0.2;

base::milliseconds
time_for_room(const return_terms& terms, double release_rate) {
    const double share =
        returning_share /
        static_cast<double>(std::max<std::size_t>(terms.instances, 1));
    return base::milliseconds(
        static_cast<std::int64_t>(terms.tokens / (release_rate * share)));
}

} // namespace

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

base::milliseconds schedule_return(
    return_schedule& schedule, const return_terms& terms,
    base::steady_time now) {
    const base::milliseconds wait =
        std::max(min_return, terms.expected_wait.value_or(min_return));
    schedule.last = std::max(schedule.last, now + wait);
    if (terms.forecast.release_rate > 0.0)
        schedule.last += time_for_room(terms, terms.forecast.release_rate);
    return base::time_left(schedule.last, now);
}

} // namespace mintknot::policy
