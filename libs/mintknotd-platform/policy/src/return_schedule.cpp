#include <mintknot/policy/return_schedule.hpp>

#include "return_promises.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace mintknot::policy {

namespace {

/// Shortest Retry-After, as in retry_after.cpp.
constexpr base::milliseconds min_retry_after{250};
/// Callers wait for at most this part of the time that they have left.
constexpr int obeyed_part = 3;
/// Least share of the release that returns get; see retrying_share in
/// retry_after.cpp.
constexpr double min_return_share = 0.2;
/// Shortest time for which a shortage is expected to last: that of the shorter
/// bursts that were seen. Returns before its end take the place of first tries
/// that are still in time.
constexpr base::milliseconds min_shortage{4000};
/// Bound of the distance of the next free times, far above what callers obey: a
/// request of absurd size must not move them out of reach.
constexpr base::milliseconds max_ahead{60000};
/// Number of forecast waits after which a caller returns. A forecast is a mean;
/// with one wait 0.06 to 0.1 of the returns of large streams found no engine
/// free, with four 0.01 to 0.03 (76 to 986 instances, twice the load). Without
/// a scheduler nothing is kept for callers that return to another instance:
/// 0.06 with six waits, 0.02 with twelve (nine instances).
constexpr int waits_with_scheduler = 4;
constexpr int waits_without_scheduler = 12;
/// A time without a refusal after which a refusal begins a new shortage.
constexpr base::milliseconds time_between_shortages{1000};
/// @return when the present shortage is expected to end: it lasts as long again
/// as it has lasted.
base::steady_time
note_shortage(return_schedule& schedule, base::steady_time now) {
    if (now - schedule.last_refusal > time_between_shortages)
        schedule.shortage_began = now;
    schedule.last_refusal = now;
    const auto lasted = now - schedule.shortage_began;
    return schedule.shortage_began +
           std::max<base::steady_time::duration>(2 * lasted, min_shortage);
}

/// @return the time in which a cost is released, at most `max_ahead`.
base::steady_time::duration time_for(double cost, double rate) {
    const auto longest = static_cast<double>(max_ahead.count());
    const double time = cost / rate;
    return std::chrono::duration_cast<base::steady_time::duration>(
        std::chrono::duration<double, std::milli>(
            time < longest ? std::max(time, 0.0) : longest));
}

std::size_t rank_of(const capacity_claim& claim) {
    return static_cast<std::size_t>(std::clamp(
        claim.priority, 0, static_cast<int>(return_schedule::priorities) - 1));
}

/// @return the latest Retry-After after which the request can be served before
/// its deadline.
base::milliseconds
latest_return(base::milliseconds left, base::milliseconds service_time) {
    return std::min(longest_obeyed(left), left - service_time);
}

/// @return the promise to a caller that was refused before, if it stands and
/// the caller obeys its time. Otherwise the promise is replaced.
std::optional<return_decision> repeat_promise(
    return_schedule& schedule, const capacity_claim& claim,
    base::milliseconds latest, base::steady_time now) {
    const auto own = earliest_of(schedule, claim.digest);
    if (!claim.caller_retry || !own)
        return std::nullopt;
    const base::steady_time due = schedule.promises.at(*own).due;
    if (due <= now + return_tolerance || due > now + latest) {
        remove_promise(schedule, *own);
        return std::nullopt;
    }
    return_decision decision;
    decision.kind = return_kind::promised;
    decision.retry_after = base::time_left(due, now);
    return decision;
}

/// @return a time in which capacity becomes free nearly always, up to `latest`
/// as long as the forecast itself is within it.
base::milliseconds
safe_wait(const return_terms& terms, base::milliseconds latest) {
    const int waits =
        terms.schedules > 1 ? waits_without_scheduler : waits_with_scheduler;
    return std::max(terms.earliest, std::min(terms.earliest * waits, latest));
}

/// @return how long before a return capacity is kept for it.
base::milliseconds kept_for(const return_terms& terms) {
    return std::clamp(
        terms.earliest * waits_with_scheduler, return_tolerance, keeps_before);
}

/// The pace of returns, and the times between which one caller may return.
struct return_window {
    double release = 0.0; ///< Cost per millisecond.
    double pace = 0.0;    ///< Of returns after the shortage.
    base::steady_time now;
    base::steady_time soonest; ///< The capacity is nearly always free by then.
    base::steady_time shortage_end;
    base::steady_time latest;
};

/// @return a time after the expected end of the shortage.
std::optional<base::steady_time> time_after_shortage(
    return_schedule& schedule, std::size_t rank, double cost,
    const return_window& window) {
    const base::steady_time from =
        std::max(window.soonest, window.shortage_end);
    const base::steady_time due =
        std::max({from, schedule.next[rank], schedule.next_of_all});
    if (due > window.latest)
        return std::nullopt;
    const auto bound = window.now + max_ahead;
    for (std::size_t i = rank; i < schedule.next.size(); ++i)
        schedule.next[i] = std::min<base::steady_time>(
            std::max(schedule.next[i], from) + time_for(cost, window.pace),
            bound);
    schedule.next_of_all = std::min<base::steady_time>(
        std::max(schedule.next_of_all, from) + time_for(cost, window.release),
        bound);
    return due;
}

/// @return a time in the last quarter of what the caller obeys.
std::optional<base::steady_time> time_in_shortage(
    return_schedule& schedule, double cost, const return_window& window) {
    const base::steady_time from = std::max(
        window.soonest, window.latest - (window.latest - window.now) / 4);
    const base::steady_time due = std::max(from, schedule.next_in_shortage);
    if (due > window.latest)
        return std::nullopt;
    schedule.next_in_shortage = std::min<base::steady_time>(
        due + time_for(cost, min_return_share * window.release),
        window.now + max_ahead);
    return due;
}

std::optional<base::steady_time> choose_time(
    return_schedule& schedule, std::size_t rank, double cost,
    const return_window& window) {
    if (schedule.promises.size() >= max_return_promises)
        return std::nullopt;
    const auto due = time_after_shortage(schedule, rank, cost, window);
    return due ? due : time_in_shortage(schedule, cost, window);
}

/// @return the part of the release that this schedule may plan.
double own_release(const return_terms& terms) {
    return terms.release_rate /
           static_cast<double>(std::max<std::size_t>(terms.schedules, 1));
}

return_window window_of(
    return_schedule& schedule, const capacity_claim& claim,
    const return_terms& terms, double pace, base::steady_time now) {
    const base::milliseconds left = claim.deadline_left;
    const base::milliseconds latest = latest_return(left, terms.service_time);
    const base::milliseconds soonest =
        bounded_retry_after(base::milliseconds{0}, left);
    return {
        own_release(terms),
        pace,
        now,
        now + std::max(soonest, safe_wait(terms, latest)),
        note_shortage(schedule, now),
        now + latest};
}

} // namespace

base::milliseconds longest_obeyed(base::milliseconds deadline_left) {
    return std::max(base::milliseconds{0}, deadline_left) / obeyed_part;
}

base::milliseconds bounded_retry_after(
    base::milliseconds retry_after, base::milliseconds deadline_left) {
    const base::milliseconds longest = longest_obeyed(deadline_left);
    return std::min(std::max(retry_after, min_retry_after), longest);
}

return_decision final_refusal(const capacity_claim& claim) {
    return_decision decision;
    decision.kind = return_kind::refused;
    decision.retry_after = claim.deadline_left;
    return decision;
}

return_decision plan_return(
    return_schedule& schedule, const capacity_claim& claim,
    const return_terms& terms, base::steady_time now) {
    advance_promises(schedule, now);
    const base::milliseconds left = claim.deadline_left;
    const double release = own_release(terms);
    if (claim.digest == 0 || left <= base::milliseconds{0} || !(release > 0.0))
        return {};
    if (!std::isfinite(terms.cost))
        return final_refusal(claim);
    const base::milliseconds latest = latest_return(left, terms.service_time);
    if (const auto repeated = repeat_promise(schedule, claim, latest, now))
        return *repeated;
    if (schedule.by_digest.count(claim.digest) >= max_promises_of_digest)
        return {};
    return_decision decision;
    decision.first_tries =
        expected_first_tries(schedule.first_tries, terms.cost, now);
    decision.pace =
        std::max(min_return_share * release, release - decision.first_tries);
    const return_window window =
        window_of(schedule, claim, terms, decision.pace, now);
    decision.shortage_left = base::time_left(window.shortage_end, now);
    const auto due = choose_time(schedule, rank_of(claim), terms.cost, window);
    decision.kind = due ? return_kind::promised : return_kind::refused;
    decision.retry_after = due ? base::time_left(*due, now) : left;
    if (due)
        add_promise(
            schedule, {claim.digest, *due, *due - kept_for(terms), terms.cost});
    return decision;
}

} // namespace mintknot::policy
