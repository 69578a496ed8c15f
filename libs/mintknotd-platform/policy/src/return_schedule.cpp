#include <mintknot/policy/return_schedule.hpp>

#include <algorithm>
#include <optional>
#include <queue>

namespace mintknot::policy {

namespace {

/// Shortest Retry-After, as in retry_after.cpp.
constexpr base::milliseconds min_retry_after{250};
/// Callers wait for at most this part of the time that they have left.
constexpr int obeyed_part = 3;
/// Least share of the release that returns get; see retrying_share in
/// retry_after.cpp.
constexpr double min_return_share = 0.2;
/// A shortage is expected to last as long as the shorter bursts that were seen.
/// Returns before its end take the place of first tries that are still in time.
constexpr base::milliseconds expected_shortage{4000};
/// Number of forecast waits after which a caller returns. A forecast is a mean;
/// with one wait 0.06 to 0.1 of the returns of large streams found no engine
/// free, with four 0.01 to 0.03 (76 to 986 instances, twice the load). Without
/// a scheduler nothing is kept for callers that return to another instance:
/// 0.06 with six waits, 0.02 with twelve (nine instances).
constexpr int waits_with_scheduler = 4;
constexpr int waits_without_scheduler = 12;
/// A time without a refusal after which a refusal begins a new shortage.
constexpr base::milliseconds calm{1000};
/// Longest time before a return for which capacity is kept.
constexpr base::milliseconds keeps_before{1000};
/// For how many returns an instance without a scheduler keeps capacity at
/// least: it does not know those promised by others.
constexpr std::size_t min_kept = 2;

/// Most returns that a placement keeps capacity for.
constexpr std::size_t max_kept = 256;

/// @return when the present shortage is expected to end; `now` at its first
/// refusal.
base::steady_time
note_shortage(return_schedule& schedule, base::steady_time now) {
    if (now - schedule.last_refusal > calm)
        schedule.shortage_began = now;
    schedule.last_refusal = now;
    if (schedule.shortage_began == now)
        return now;
    return std::max(now, schedule.shortage_began + expected_shortage);
}

base::steady_time::duration time_for(double cost, double rate) {
    return std::chrono::duration_cast<base::steady_time::duration>(
        std::chrono::duration<double, std::milli>(cost / rate));
}

/// How fast returns are scheduled.
struct return_pace {
    double now = 0.0;   ///< Cost per millisecond until the shortage ends,
    double later = 0.0; ///< and after that.
    base::steady_time shortage_end;
};

/// @return the time at which a return of that cost has been paid for.
base::steady_time
paid_at(base::steady_time from, double cost, const return_pace& pace) {
    const base::steady_time slowly = from + time_for(cost, pace.now);
    if (slowly <= pace.shortage_end)
        return slowly;
    const auto before =
        std::max(base::steady_time::duration{0}, pace.shortage_end - from);
    const double paid =
        pace.now * std::chrono::duration<double, std::milli>(before).count();
    return from + before + time_for(cost - paid, pace.later);
}

return_pace
pace_of(double first_tries, double release, base::steady_time shortage_end) {
    return_pace pace;
    pace.now = min_return_share * release;
    pace.later = std::max(pace.now, release - first_tries);
    pace.shortage_end = shortage_end;
    return pace;
}

void remove(return_schedule& schedule, std::uint64_t digest) {
    const auto found = schedule.promises.find(digest);
    if (found == schedule.promises.end())
        return;
    schedule.upcoming.erase({found->second.kept_from, digest});
    schedule.kept.erase({found->second.due, digest});
    schedule.promises.erase(found);
}

/// Moves promises for which capacity is kept from now on, and drops those that
/// have lapsed.
void advance(return_schedule& schedule, base::steady_time now) {
    while (!schedule.upcoming.empty() &&
           schedule.upcoming.begin()->first <= now) {
        const std::uint64_t digest = schedule.upcoming.begin()->second;
        schedule.upcoming.erase(schedule.upcoming.begin());
        schedule.kept.insert({schedule.promises.at(digest).due, digest});
    }
    while (!schedule.kept.empty() &&
           schedule.kept.begin()->first + return_grace < now) {
        ++schedule.lapsed;
        remove(schedule, schedule.kept.begin()->second);
    }
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

std::optional<return_decision> standing_promise(
    const return_schedule& schedule, std::uint64_t digest,
    base::steady_time now) {
    const auto found = schedule.promises.find(digest);
    if (found == schedule.promises.end() ||
        found->second.due <= now + return_tolerance)
        return std::nullopt;
    return_decision decision;
    decision.kind = return_kind::promised;
    decision.retry_after = base::time_left(found->second.due, now);
    return decision;
}

/// Moves the next free times of the priority and of all less urgent ones.
void pay(
    return_schedule& schedule, std::size_t rank, double cost,
    base::steady_time earliest, const return_pace& pace, double release) {
    for (std::size_t i = rank; i < schedule.next.size(); ++i)
        schedule.next[i] =
            paid_at(std::max(schedule.next[i], earliest), cost, pace);
    schedule.next_of_all =
        std::max(schedule.next_of_all, earliest) + time_for(cost, release);
}

/// @return a time in which capacity becomes free nearly always, up to `latest`
/// as long as the forecast itself is within it.
base::milliseconds
safe_wait(const return_terms& terms, base::milliseconds latest) {
    const int waits =
        terms.schedules > 1 ? waits_without_scheduler : waits_with_scheduler;
    return std::max(terms.earliest, std::min(terms.earliest * waits, latest));
}

void add_promise(
    return_schedule& schedule, const capacity_claim& claim,
    const return_terms& terms, base::steady_time due) {
    const base::steady_time kept_from =
        due - std::clamp(
                  terms.earliest * waits_with_scheduler, return_tolerance,
                  keeps_before);
    schedule.promises[claim.digest] = {due, kept_from, terms.cost};
    schedule.upcoming.insert({kept_from, claim.digest});
    ++schedule.promised;
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

return_decision plan_return(
    return_schedule& schedule, const capacity_claim& claim,
    const return_terms& terms, base::steady_time now) {
    advance(schedule, now);
    if (const auto standing = standing_promise(schedule, claim.digest, now))
        return *standing;
    remove(schedule, claim.digest);
    const auto schedules =
        static_cast<double>(std::max<std::size_t>(terms.schedules, 1));
    const double release = terms.release_rate / schedules;
    const base::milliseconds left = claim.deadline_left;
    return_decision decision;
    if (claim.digest == 0 || left <= base::milliseconds{0} || release <= 0.0)
        return decision;
    decision.first_tries =
        expected_first_tries(schedule.first_tries, terms.cost, now);
    const return_pace pace =
        pace_of(decision.first_tries, release, note_shortage(schedule, now));
    decision.pace = pace.later;
    decision.shortage_left = base::time_left(pace.shortage_end, now);
    const base::milliseconds soonest =
        bounded_retry_after(base::milliseconds{0}, left);
    const base::milliseconds latest = latest_return(left, terms.service_time);
    const base::steady_time due = std::max(
        {now + std::max(soonest, safe_wait(terms, latest)),
         schedule.next[rank_of(claim)], schedule.next_of_all});
    if (due > now + latest || schedule.promises.size() >= max_return_promises) {
        decision.kind = return_kind::final;
        decision.retry_after = left;
        return decision;
    }
    add_promise(schedule, claim, terms, due);
    pay(schedule, rank_of(claim), terms.cost, now + soonest, pace, release);
    decision.kind = return_kind::promised;
    decision.retry_after = base::time_left(due, now);
    return decision;
}

std::vector<double> kept_costs(
    return_schedule& schedule, std::uint64_t digest, base::steady_time now) {
    advance(schedule, now);
    std::vector<double> costs;
    for (const auto& [due, owner] : schedule.kept) {
        if (costs.size() >= max_kept)
            break;
        if (owner != digest)
            costs.push_back(schedule.promises.at(owner).cost);
    }
    return costs;
}

std::vector<double>
costs_nearby(return_schedule& schedule, base::steady_time now) {
    std::vector<double> costs = kept_costs(schedule, 0, now);
    const auto& upcoming = schedule.upcoming;
    if (costs.empty() && !upcoming.empty() &&
        upcoming.begin()->first <= now + keeps_before)
        costs.push_back(schedule.promises.at(upcoming.begin()->second).cost);
    if (!costs.empty())
        costs.resize(std::max(costs.size(), min_kept), costs.front());
    return costs;
}

bool returns_on_time(
    return_schedule& schedule, std::uint64_t digest, base::steady_time now) {
    advance(schedule, now);
    const auto own = schedule.promises.find(digest);
    return own != schedule.promises.end() &&
           own->second.due <= now + return_tolerance;
}

void end_promise(return_schedule& schedule, std::uint64_t digest) {
    if (schedule.promises.contains(digest))
        ++schedule.served;
    remove(schedule, digest);
}

std::set<std::string> engines_kept(
    const std::vector<engine_room>& engines, double cost,
    const std::vector<double>& kept) {
    std::priority_queue<std::pair<double, std::size_t>> left;
    for (std::size_t i = 0; i < engines.size(); ++i)
        left.push({engines[i].free, i});
    for (const double each : kept) {
        if (left.empty())
            break;
        const auto [free, index] = left.top();
        left.pop();
        left.push({free - each, index});
    }
    std::set<std::string> result;
    for (; !left.empty(); left.pop())
        if (left.top().first < cost)
            result.insert(engines[left.top().second].id);
    return result;
}

} // namespace mintknot::policy
