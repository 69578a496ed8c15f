#include "fair_share_records.hpp"

namespace mintknot::policy {

namespace {

/// Weight of a new request in the mean cost.
constexpr double mean_cost_weight = 0.02;
constexpr base::milliseconds organisation_idle_time{10000};
/// Where each instance decides, it sees a part of the denials only, and each
/// counts for longer, but no longer than this.
constexpr base::milliseconds max_shortage_time{5000};
constexpr base::milliseconds eviction_period{1000};
/// Bound of what a priority can lack or be ahead of its minimum share.
constexpr double max_owed_requests = 3.0;
/// Bound of remembered callers that return.
constexpr std::size_t max_returns = 4096;

/// Organisations beyond the bound share the record with this name, which no
/// configuration contains.
const std::string& shared_name() {
    static const std::string name(1, '\0');
    return name;
}

void evict_idle(fair_share_state& state, base::steady_time now) {
    if (now - state.last_eviction < eviction_period)
        return;
    state.last_eviction = now;
    const auto idle = [now](const auto& item) {
        return now - item.second.last_asked > organisation_idle_time;
    };
    state.counters = 0;
    for (priority_demand& priority : state.priorities) {
        std::erase_if(priority.organisations, idle);
        for (auto& [name, organisation] : priority.organisations)
            std::erase_if(organisation.data_centres, idle);
        state.counters += priority.organisations.size();
    }
}

organisation_demand& organisation_of(
    fair_share_state& state, const share_request& request,
    base::steady_time now) {
    evict_idle(state, now);
    auto& organisations =
        state.priorities.at(priority_of(request.claim)).organisations;
    const std::string& name = request.claim.organisation;
    const auto found = organisations.find(name);
    if (found != organisations.end())
        return found->second;
    if (state.counters >= max_organisations)
        return organisations[shared_name()];
    ++state.counters;
    return organisations[name];
}

/// Calls a function with the records of the request's priority, organisation
/// and data centre.
template<typename function>
void for_each_record(
    fair_share_state& state, const share_request& request,
    base::steady_time now, const function& apply) {
    apply(state.priorities.at(priority_of(request.claim)));
    organisation_demand& organisation = organisation_of(state, request, now);
    apply(organisation);
    apply(organisation.data_centres[request.data_centre]);
}

/// @return true if the caller has already been counted as demand.
bool is_known_return(
    fair_share_state& state, const capacity_claim& claim,
    base::steady_time now) {
    if (!claim.caller_retry || claim.digest == 0)
        return false;
    const auto found = state.returns.find(claim.digest);
    if (found != state.returns.end() && now - found->second < demand_window)
        return true;
    if (state.returns.size() >= max_returns)
        std::erase_if(state.returns, [now](const auto& item) {
            return now - item.second >= demand_window;
        });
    if (state.returns.size() < max_returns)
        state.returns[claim.digest] = now;
    return false;
}

/// Adds to what the priorities that wait lack of their minimum share.
void note_minimum_shares(
    fair_share_state& state, const share_request& request,
    base::steady_time now) {
    const double bound = max_owed_requests * state.mean_cost;
    for (std::size_t i = 0; i < max_priorities; ++i) {
        priority_demand& record = state.priorities.at(i);
        const bool own = i == priority_of(request.claim);
        if (own || waiting_cost(record, now) > 0.0)
            record.owed += min_priority_share * request.cost;
        if (own)
            record.owed -= request.cost;
        record.owed = std::clamp(record.owed, -bound, bound);
    }
}

/// Advances a counter. Its lead is limited to what all got within the demand
/// window, so that a long shortage is not held against a competitor for longer.
template<typename records>
void advance_counter(
    const fair_share_state& state, records& all, const std::string& name,
    double cost, base::steady_time now) {
    const double limit =
        lowest_counter(state, all, name, now) + sum(state.served, now);
    demand_record& record = all[name];
    record.counter = std::min(counter_at(state, all, name, now) + cost, limit);
    record.shortage = state.shortage;
}

/// Raises the counter of a competitor that begins to compete.
template<typename records>
void raise_idle(
    const fair_share_state& state, records& all, const std::string& name,
    base::steady_time now) {
    demand_record& record = all[name];
    record.counter = counter_at(state, all, name, now);
    record.shortage = state.shortage;
}

} // namespace

double asked_rate(
    const demand_record& record, const share_request& request,
    base::steady_time now) {
    return rate(
        request.part_of_demand < 1.0 ? record.asked_long : record.asked, now);
}

std::map<std::string, organisation_demand>::iterator update_fair_rates(
    fair_share_state& state, const share_request& request, double release,
    base::steady_time now) {
    priority_demand& own = state.priorities.at(priority_of(request.claim));
    const auto self =
        find_organisation(own.organisations, request.claim.organisation);
    if (self == own.organisations.end())
        return self;
    const double to_others = rate(state.served, now) - rate(own.served, now);
    update(
        own.fair, own.organisations, request,
        std::max(min_priority_share * release, release - to_others), now);
    update(
        self->second.fair, self->second.data_centres, request,
        std::max(own.fair.limit, rate(self->second.served, now)), now);
    return self;
}

bool asks_for_more_than(
    const fair_share_state& state, const share_request& request, double rate,
    base::steady_time now) {
    double asked = 0.0;
    for (const priority_demand& priority : state.priorities)
        asked += asked_rate(priority, request, now);
    return asked > rate;
}

std::size_t priority_of(const capacity_claim& claim) {
    return static_cast<std::size_t>(
        std::clamp(claim.priority, 0, static_cast<int>(max_priorities) - 1));
}

bool is_short(
    const fair_share_state& state, const share_request& request,
    base::steady_time now) {
    const std::chrono::duration<double, std::milli> time =
        std::min<std::chrono::duration<double, std::milli>>(
            shortage_time / request.part_of_demand, max_shortage_time);
    return now - state.last_shortage < time;
}

double counter_of(const fair_share_state& state, const demand_record& record) {
    return record.shortage == state.shortage ? record.counter : 0.0;
}

std::map<std::string, organisation_demand>::iterator find_organisation(
    std::map<std::string, organisation_demand>& organisations,
    const std::string& name) {
    const auto found = organisations.find(name);
    return found == organisations.end() ? organisations.find(shared_name())
                                        : found;
}

void note_asked(
    fair_share_state& state, const share_request& request,
    base::steady_time now) {
    const capacity_claim& claim = request.claim;
    if (claim.waiting || claim.begun || is_known_return(state, claim, now))
        return;
    state.mean_cost =
        state.mean_cost <= 0.0
            ? request.cost
            : state.mean_cost +
                  mean_cost_weight * (request.cost - state.mean_cost);
    for_each_record(state, request, now, [&](demand_record& record) {
        note_asked(record, request.cost, now);
    });
}

void note_served(
    fair_share_state& state, const share_request& request,
    base::steady_time now) {
    add(state.served, request.cost, now);
    for_each_record(state, request, now, [&](demand_record& record) {
        record.allowance = std::max(0.0, record.allowance - request.cost);
        note_served(record, request.cost, request.claim.waiting, now);
    });
    if (!is_short(state, request, now))
        return;
    note_minimum_shares(state, request, now);
    auto& organisations =
        state.priorities.at(priority_of(request.claim)).organisations;
    const std::string name =
        find_organisation(organisations, request.claim.organisation)->first;
    advance_counter(state, organisations, name, request.cost, now);
    advance_counter(
        state, organisations[name].data_centres, request.data_centre,
        request.cost, now);
}

void note_denied(
    fair_share_state& state, const share_request& request,
    capacity_denial denial, base::milliseconds expected_wait,
    base::steady_time now) {
    const bool yielded = denial == capacity_denial::reserved_for_priority ||
                         denial == capacity_denial::over_share;
    if (!yielded) {
        if (!is_short(state, request, now))
            ++state.shortage;
        state.last_shortage = now;
    }
    const bool waits = expected_wait <= request.claim.target_left;
    organisation_demand& organisation = organisation_of(state, request, now);
    auto& organisations =
        state.priorities.at(priority_of(request.claim)).organisations;
    raise_idle(
        state, organisations,
        find_organisation(organisations, request.claim.organisation)->first,
        now);
    raise_idle(state, organisation.data_centres, request.data_centre, now);
    for_each_record(state, request, now, [&](demand_record& record) {
        note_denied(record, request.cost, waits, request.claim.waiting, now);
    });
}

} // namespace mintknot::policy
