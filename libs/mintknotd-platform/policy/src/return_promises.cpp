#include "return_promises.hpp"

#include <algorithm>
#include <queue>

namespace mintknot::policy {

namespace {

/// Most of the capacity that is kept for returns while first tries are denied.
constexpr double max_kept_share = 0.2;
/// First tries are being denied for this long after a denial.
constexpr base::milliseconds denial_age{1000};
/// For how many returns an instance without a scheduler keeps capacity at
/// least: it does not know those promised by others.
constexpr std::size_t min_kept = 2;

/// Most returns that a placement keeps capacity for.
constexpr std::size_t max_kept = 256;

} // namespace

void add_promise(
    return_schedule& schedule, const return_schedule::promise& promise) {
    const std::uint64_t number = ++schedule.promised;
    schedule.promises[number] = promise;
    schedule.by_digest.insert({promise.digest, number});
    schedule.upcoming.insert({promise.kept_from, number});
}

void remove_promise(return_schedule& schedule, std::uint64_t number) {
    const auto found = schedule.promises.find(number);
    if (found == schedule.promises.end())
        return;
    const return_schedule::promise& ended = found->second;
    schedule.upcoming.erase({ended.kept_from, number});
    schedule.kept.erase({ended.due, number});
    const auto [first, last] = schedule.by_digest.equal_range(ended.digest);
    const auto entry = std::find_if(first, last, [number](const auto& item) {
        return item.second == number;
    });
    if (entry != last)
        schedule.by_digest.erase(entry);
    schedule.promises.erase(found);
}

std::optional<std::uint64_t>
earliest_of(const return_schedule& schedule, std::uint64_t digest) {
    std::optional<std::uint64_t> earliest;
    const auto [first, last] = schedule.by_digest.equal_range(digest);
    for (auto item = first; item != last; ++item)
        if (!earliest || schedule.promises.at(item->second).due <
                             schedule.promises.at(*earliest).due)
            earliest = item->second;
    return earliest;
}

void advance_promises(return_schedule& schedule, base::steady_time now) {
    while (!schedule.upcoming.empty() &&
           schedule.upcoming.begin()->first <= now) {
        const std::uint64_t number = schedule.upcoming.begin()->second;
        schedule.upcoming.erase(schedule.upcoming.begin());
        schedule.kept.insert({schedule.promises.at(number).due, number});
    }
    while (!schedule.kept.empty() &&
           schedule.kept.begin()->first + return_grace < now) {
        ++schedule.lapsed;
        remove_promise(schedule, schedule.kept.begin()->second);
    }
}

void note_first_try_denied(return_schedule& schedule, base::steady_time now) {
    schedule.first_try_denied_at = now;
}

double most_kept(
    const return_schedule& schedule, double capacity, base::steady_time now) {
    const bool denied = schedule.first_try_denied_at != base::steady_time{} &&
                        now - schedule.first_try_denied_at <= denial_age;
    return denied ? max_kept_share * capacity : HUGE_VAL;
}

std::vector<double> kept_costs(
    return_schedule& schedule, std::uint64_t own_digest, base::steady_time now,
    double most) {
    advance_promises(schedule, now);
    std::vector<double> costs;
    double sum = 0.0;
    for (const auto& [due, number] : schedule.kept) {
        const return_schedule::promise& kept = schedule.promises.at(number);
        if (own_digest != 0 && kept.digest == own_digest)
            continue;
        sum += kept.cost;
        if (costs.size() >= max_kept || sum > most)
            break;
        costs.push_back(kept.cost);
    }
    return costs;
}

std::vector<double> kept_without_scheduler(
    return_schedule& schedule, base::steady_time now, double most) {
    std::vector<double> costs = kept_costs(schedule, 0, now, most);
    const auto& upcoming = schedule.upcoming;
    if (costs.empty() && schedule.kept.empty() && !upcoming.empty() &&
        upcoming.begin()->first <= now + keeps_before) {
        const double cost = schedule.promises.at(upcoming.begin()->second).cost;
        if (cost <= most)
            costs.push_back(cost);
    }
    while (!costs.empty() && costs.size() < min_kept &&
           costs.front() * static_cast<double>(costs.size() + 1) <= most)
        costs.push_back(costs.front());
    return costs;
}

bool returns_on_time(
    return_schedule& schedule, std::uint64_t digest, base::steady_time now) {
    advance_promises(schedule, now);
    const auto own = earliest_of(schedule, digest);
    return own && schedule.promises.at(*own).due <= now + return_tolerance;
}

void end_promise(return_schedule& schedule, std::uint64_t digest) {
    const auto own = earliest_of(schedule, digest);
    if (!own)
        return;
    ++schedule.served;
    remove_promise(schedule, *own);
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
