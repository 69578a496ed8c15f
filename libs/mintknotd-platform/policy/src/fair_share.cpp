#include <mintknot/policy/fair_share.hpp>

#include "fair_share_records.hpp"

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

/// Demand of those who go first, as a share of the release, from which one
/// request's cost is left free for them. Below it, they are rare enough to wait
/// for the next release.
constexpr double min_expected_share = 0.25;
/// Mean requests for which the emptiest engine is left to them, and mean
/// requests that are left free on others.
constexpr double requests_on_emptiest = 3.0;
constexpr double requests_on_others = 3.0;

/// Those who go before a request.
struct predecessors {
    double rate = 0.0;    ///< Their demand, in cost per millisecond.
    double waiting = 0.0; ///< Cost that they wait for.
    double largest = 0.0; ///< Of the largest request that waits.
    std::string first;    ///< The first of them, for log lines.
};

void add_waiting(
    predecessors& before, double waiting, double largest,
    const std::string& name) {
    if (before.first.empty() && waiting > 0.0)
        before.first = name;
    before.waiting += waiting;
    before.largest = std::max(before.largest, largest);
}

void add_rate(predecessors& before, double rate, const std::string& name) {
    if (before.first.empty() && rate > 0.0)
        before.first = name;
    before.rate += rate;
}

/// @return true if a priority lacks half a request of its minimum share.
bool is_owed(const fair_share_state& state, const demand_record& priority) {
    return state.mean_cost > 0.0 && priority.owed >= state.mean_cost / 2.0;
}

void add_priorities(
    predecessors& before, const fair_share_state& state,
    const share_request& request, base::steady_time now) {
    const std::size_t own = priority_of(request.claim);
    // A priority below its minimum share goes first, so it yields to no other.
    if (is_owed(state, state.priorities.at(own)))
        return;
    for (std::size_t other = 0; other < max_priorities; ++other) {
        const priority_demand& record = state.priorities.at(other);
        const std::string name = "priority " + std::to_string(other);
        const double waiting = waiting_cost(record, now);
        const double largest = largest_waiting(record, now);
        if (other < own) {
            add_waiting(before, waiting, largest, name);
            add_rate(before, asked_rate(record, request, now), name);
        } else if (other > own && waiting > 0.0 && is_owed(state, record)) {
            add_waiting(before, std::min(waiting, record.owed), largest, name);
        }
    }
}

/// Adds those who wait and whose counters are behind by more than a quantum
/// and, for a competitor that asks for more than the fair rate, the demand of
/// those who ask for less.
template<typename records>
void add_competitors(
    predecessors& before, const fair_share_state& state, const records& all,
    const std::string& own, const fair_rate& fair, const share_request& request,
    base::steady_time now) {
    const auto self = all.find(own);
    const bool above = self != all.end() && self->second.above_fair_rate;
    // Counters of the few requests of one instance differ by chance.
    if (!above && request.part_of_demand < 1.0)
        return;
    const double limit =
        counter_at(state, all, own, now) - quantum_requests * state.mean_cost;
    for (const auto& [name, record] : all)
        if (name != own && counter_of(state, record) < limit)
            add_waiting(
                before, waiting_cost(record, now), largest_waiting(record, now),
                name);
    if (above)
        add_rate(before, fair.below_limit, "others below their share");
}

struct ranking {
    predecessors by_priority;
    predecessors by_share;
    double own_waiting = 0.0; ///< Of its organisation and data centre.
    double waiting_in_priority = 0.0;
};

ranking rank(
    fair_share_state& state, const share_request& request, double release,
    base::steady_time now) {
    ranking found;
    add_priorities(found.by_priority, state, request, now);
    priority_demand& own = state.priorities.at(priority_of(request.claim));
    const auto self = update_fair_rates(state, request, release, now);
    if (self == own.organisations.end())
        return found;
    found.waiting_in_priority = waiting_cost(own, now);
    found.own_waiting =
        waiting_cost(self->second.data_centres[request.data_centre], now);
    add_competitors(
        found.by_share, state, own.organisations, self->first, own.fair,
        request, now);
    add_competitors(
        found.by_share, state, self->second.data_centres, request.data_centre,
        self->second.fair, request, now);
    return found;
}

base::milliseconds wait_for(double cost, double rate) {
    return base::milliseconds(
        static_cast<std::int64_t>(std::ceil(cost / rate)));
}

base::milliseconds expected_wait(
    const ranking& found, const share_request& request, double release) {
    const double total_rate = found.by_priority.rate + found.by_share.rate;
    const double minimum = min_priority_share * release;
    double ahead = found.by_priority.waiting + found.by_share.waiting;
    double ahead_in_priority = request.cost;
    // Those of its own kind that ask later wait behind it. Where each instance
    // decides, its queue and the reports of peers show who is ahead.
    if (!request.claim.waiting && request.part_of_demand >= 1.0) {
        ahead += found.own_waiting;
        ahead_in_priority += found.waiting_in_priority;
    }
    const auto wait = wait_for(ahead, std::max(minimum, release - total_rate));
    // The minimum share does not wait for more urgent requests.
    return std::min(wait, wait_for(ahead_in_priority, minimum));
}

predecessors operator+(const predecessors& left, const predecessors& right) {
    return {
        left.rate + right.rate, left.waiting + right.waiting,
        std::max(left.largest, right.largest),
        left.first.empty() ? right.first : left.first};
}

/// What of the free capacity is left to those who go first.
struct kept_capacity {
    double cost = 0.0;
    bool sets_emptiest_aside = false;
};

/// The emptiest engine is left to those who go first until it has room for the
/// largest request that waits or, if their demand is a good part of the
/// release, for some mean requests. Otherwise small requests would take all
/// pieces in which a large one could come to fit.
kept_capacity kept_for(
    const predecessors& before, const domain_capacity& capacity,
    const share_request& request, double mean_cost, double release) {
    const double unit = std::max(request.cost, mean_cost);
    double wanted = before.largest;
    double expected = 0.0;
    if (before.rate >= min_expected_share * release) {
        wanted = std::max(wanted, requests_on_emptiest * mean_cost);
        expected = requests_on_others * unit;
    }
    kept_capacity kept{before.waiting + expected};
    if (wanted <= 0.0 || wanted <= capacity.largest_free)
        return kept;
    kept.sets_emptiest_aside = true;
    kept.cost = expected + std::max(0.0, before.waiting - wanted) +
                std::floor(capacity.largest_free / unit) * unit;
    return kept;
}

} // namespace

share_decision admit_by_share(
    fair_share_state& state, const share_request& request,
    const domain_capacity& capacity, base::steady_time now) {
    share_decision result;
    const double release = capacity.release_rate * request.part_of_demand;
    if (!is_short(state, request, now) || release <= 0.0 || request.cost <= 0.0)
        return result;
    const ranking found = rank(state, request, release, now);
    result.expected_wait = expected_wait(found, request, release);
    if (capacity.largest_free < request.cost)
        return result;
    const auto kept = [&](const predecessors& before) {
        return kept_for(before, capacity, request, state.mean_cost, release);
    };
    const kept_capacity all = kept(found.by_priority + found.by_share);
    if (all.sets_emptiest_aside)
        result.set_aside = capacity.emptiest;
    const double unit = std::max(request.cost, state.mean_cost);
    if (all.cost <= 0.0 || capacity.free - all.cost >= unit)
        return result;
    // One instance seldom sees a denial for lack of capacity.
    if (request.part_of_demand < 1.0 &&
        asks_for_more_than(state, request, release, now))
        state.last_shortage = now;
    const bool by_priority =
        capacity.free - kept(found.by_priority).cost < unit;
    result.denial = by_priority ? capacity_denial::reserved_for_priority
                                : capacity_denial::over_share;
    result.inputs = {
        capacity.free, all.cost,
        std::chrono::duration_cast<base::milliseconds>(
            now - state.last_shortage),
        by_priority ? found.by_priority.first : found.by_share.first};
    return result;
}

} // namespace mintknot::policy
