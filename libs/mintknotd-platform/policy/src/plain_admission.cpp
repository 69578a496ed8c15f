#include <mintknot/policy/plain_admission.hpp>

#include "plain_expectation.hpp"

#include <mintknot/policy/group.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace mintknot::policy {

namespace {

/// While capacity is short, allowances for calls that take longer than the
/// mean, as factors of a service time and of the wait. Without them the queues
/// of overloaded servers are as long as the target admits, and many calls are
/// late: 0.31 of them at twice the capacity, 0.14 with 1.5 and 1.25, and
/// 0.03 with 2.5 and 2, with servers as busy (76 instances, service times that
/// are distributed exponentially).
constexpr double service_allowance = 2.5;
constexpr double wait_allowance = 2.0;
/// How long capacity counts as short after a denial.
constexpr base::milliseconds shortage_time{500};
/// Wait that a call leaves for those that peers have placed and not reported
/// yet, where each instance places its own: the mean age of reported loads.
constexpr double unreported_ms = 30.0;
/// A new scheduler does not know for so long what is in flight; instances
/// report their loads at least twice a second. Limits and service times that
/// were learned then would be wrong for seconds.
constexpr base::milliseconds settling_time{500};
/// After so long without a call another instance may have been the scheduler.
constexpr base::milliseconds quiet_time{10000};
/// Most servers whose flow is kept; far more than one domain has.
constexpr std::size_t max_flows = 2048;

double as_ms(base::milliseconds time) {
    return static_cast<double>(time.count());
}

base::milliseconds rounded_up(double ms) {
    return base::milliseconds(static_cast<std::int64_t>(std::ceil(ms)));
}

/// @return true if each instance places its own calls by loads that are up to
/// 60 ms old.
bool has_outdated_loads(const selection_inputs& inputs) {
    return !inputs.all_loads_known && !inputs.loads.peers.empty();
}

/// @return true if loads are known well enough to tell how many calls are ahead
/// of another. They are not where an instance of a large group places a call
/// because no scheduler has answered.
bool knows_loads(const selection_inputs& inputs) {
    return inputs.all_loads_known || !is_large_group(inputs.instances);
}

/// Decides on one call.
class plain_choice {
public:
    plain_choice(
        plain_admission_state& state, const selection_inputs& inputs,
        const placement_query& query)
        : state_(state)
        , inputs_(inputs)
        , query_(query)
        , claim_(*query.claim)
        , services_(inputs)
        , short_(is_short())
        , reserved_(reserved_for_others()) {}

    plain_decision decide() {
        const traffic::server* chosen = select_plain_by_score(
            inputs_, query_.excluded, [this](const traffic::server& server) {
                return score_if_admitted(server);
            });
        plain_decision decision;
        if (chosen != nullptr) {
            decision.server = chosen->id;
            decision.forecast =
                forecast_of(expect(state_, inputs_, services_, *chosen));
            return decision;
        }
        decision.unavailable = considered_ == 0;
        if (decision.unavailable)
            return decision;
        decision.denial = denial();
        note_shortage();
        decision.expected_wait = rounded_up(std::max(1.0, soonest_ms_));
        decision.forecast = forecast_of(soonest_);
        return decision;
    }

private:
    /// @return calls per millisecond that the servers complete for the demand
    /// that is known here. Without a scheduler an instance knows its own demand
    /// only, and that of the peers is taken to be the same.
    double release_rate() const {
        const double sharers =
            inputs_.all_loads_known
                ? 1.0
                : static_cast<double>(inputs_.loads.peers.size() + 1);
        return plain_capacity(state_, inputs_).release_rate / sharers;
    }

    /// Capacity is short only while demand exceeds it: with strict allowances
    /// a small service denies calls also below its capacity. It is not short
    /// for urgent calls which would all be served if less urgent ones were not.
    bool is_short() const {
        if (is_new())
            return true;
        return inputs_.now <
                   state_.short_until[priority_index(claim_.priority)] &&
               exceeds_capacity(
                   state_.reserve, claim_.priority, release_rate(),
                   inputs_.now);
    }

    double reserved_for_others() const {
        const double demand =
            more_urgent_demand(state_.reserve, claim_.priority, inputs_.now);
        if (demand <= 0.0 || claim_.begun)
            return 0.0;
        return reserved_share(
            state_.reserve, claim_.priority, demand, release_rate(),
            inputs_.now);
    }

    /// @return the longest wait with which a call may be sent.
    double max_wait_ms(const expectation& expected) const {
        // A request that may have run can't be refused as one that has not.
        if (claim_.begun && claim_.deadline_left <= base::milliseconds{0})
            return std::numeric_limits<double>::infinity();
        if (claim_.begun)
            return as_ms(claim_.deadline_left) - expected.service.ms;
        const double unreported =
            has_outdated_loads(inputs_) ? unreported_ms : 0.0;
        return (as_ms(claim_.target_left) -
                (short_ ? service_allowance : 1.0) * expected.service.ms -
                unreported) /
               (short_ ? wait_allowance : 1.0);
    }

    double score_if_admitted(const traffic::server& server) {
        note_new_rejections(server);
        const expectation expected = expect(state_, inputs_, services_, server);
        ++considered_;
        const double longest = max_wait_ms(expected);
        const double allowed = std::max(0.0, longest * (1.0 - reserved_));
        const bool in_time = expected.has_free_slot() ||
                             expected.wait_ms <= allowed ||
                             is_guess(expected, server);
        if (in_time && (claim_.begun || !expected.is_full()))
            return expected.service.ms *
                   (1.0 + plain_score(inputs_, server, expected.in_flight));
        reserved_seen_ |= !expected.is_full() && expected.wait_ms <= longest;
        full_seen_ |= expected.is_full();
        late_seen_ |= !expected.is_full();
        note_soonest(server, expected, allowed);
        return std::numeric_limits<double>::infinity();
    }

    void note_soonest(
        const traffic::server& server, const expectation& expected,
        double allowed) {
        double ms = expected.wait_ms - allowed;
        if (expected.is_full())
            ms = std::max(
                ms, (expected.in_flight + 1 - *expected.limit) *
                        expected.service.ms / std::max(server.slots, 1));
        if (ms >= soonest_ms_)
            return;
        soonest_ms_ = ms;
        soonest_ = expected;
    }

    /// @return true if a refusal would rest on an assumed service time, while
    /// the server has few calls.
    bool is_guess(const expectation& expected, const traffic::server& server) {
        return expected.in_flight < 2 * server.slots && !services_.median();
    }

    void note_shortage() {
        // A call that is late already does not show that capacity is short.
        // One that is denied while loads may be incomplete does not either.
        if (claim_.begun || claim_.target_left <= base::milliseconds{0} ||
            is_settling())
            return;
        for (std::size_t i = priority_index(claim_.priority);
             i < state_.short_until.size(); ++i)
            state_.short_until[i] = inputs_.now + shortage_time;
    }

    void note_new_rejections(const traffic::server& server) {
        if (inputs_.plain_times == nullptr)
            return;
        const auto found = inputs_.plain_times->by_id.find(server.id);
        if (found == inputs_.plain_times->by_id.end())
            return;
        const auto flow = state_.flows.find(server.id);
        if (flow == state_.flows.end())
            return;
        if (is_settling())
            flow->second.rejections_seen = found->second.rejections;
        else
            note_rejections(
                flow->second, found->second.rejections, server.slots,
                inputs_.now);
    }

    /// @return true if a scheduler has just begun to place calls. It knows
    /// little of what is in flight, so it leaves room at the servers.
    bool is_new() const {
        return inputs_.all_loads_known &&
               inputs_.now - state_.created < settling_time;
    }

    /// @return true if loads and rejections may be incomplete, because other
    /// instances may have placed the calls before.
    bool is_settling() const {
        return inputs_.all_loads_known &&
               inputs_.now - state_.began < settling_time;
    }

    capacity_denial denial() const {
        if (reserved_seen_)
            return capacity_denial::reserved_for_priority;
        return late_seen_ || !full_seen_ ? capacity_denial::late
                                         : capacity_denial::no_capacity;
    }

    std::optional<plain_forecast> forecast_of(const expectation& of) const {
        if (!knows_loads(inputs_) || is_settling())
            return std::nullopt;
        return plain_forecast{
            of.ahead, rounded_up(of.service.ms),
            of.service.learned ? std::optional(of.service.age) : std::nullopt};
    }

    plain_admission_state& state_;
    const selection_inputs& inputs_;
    const placement_query& query_;
    const capacity_claim& claim_;
    service_lookup services_;
    bool short_ = false;
    double reserved_ = 0.0;
    int considered_ = 0;
    bool reserved_seen_ = false;
    bool late_seen_ = false;
    bool full_seen_ = false;
    double soonest_ms_ = std::numeric_limits<double>::infinity();
    expectation soonest_;
};

} // namespace

plain_decision admit_plain(
    plain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query) {
    if (state.last_call == base::steady_time{})
        state.created = inputs.now;
    if (inputs.now - state.last_call > quiet_time)
        state.began = inputs.now;
    state.last_call = inputs.now;
    const bool first_try = !query.claim->caller_retry && !query.claim->begun &&
                           query.excluded.empty();
    note_demand(state.reserve, query.claim->priority, first_try, inputs.now);
    return plain_choice(state, inputs, query).decide();
}

void note_plain_placed(
    plain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query, const std::string& server) {
    const traffic::server* chosen = traffic::find(inputs.servers, server);
    if (chosen == nullptr)
        return;
    service_lookup services(inputs);
    const expectation expected = expect(state, inputs, services, *chosen);
    note_placed(state.reserve, query.claim->priority);
    if (state.flows.size() >= max_flows)
        std::erase_if(state.flows, [&](const auto& item) {
            return traffic::find(inputs.servers, item.first) == nullptr;
        });
    const auto [flow, fresh] = state.flows.try_emplace(server);
    if (fresh && inputs.plain_times != nullptr) {
        const auto known = inputs.plain_times->by_id.find(server);
        if (known != inputs.plain_times->by_id.end())
            flow->second.rejections_seen = known->second.rejections;
    }
    note_placed(flow->second, expected.in_flight + 1, inputs.now);
}

domain_capacity plain_capacity(
    const plain_admission_state& state, const selection_inputs& inputs) {
    domain_capacity capacity;
    service_lookup services(inputs);
    for (const traffic::server* server :
         traffic::open_servers(inputs.servers, inputs.service.name)) {
        const bool in_domain = inputs.only_data_centre.empty() ||
                               inputs.only_data_centre == server->data_centre;
        if (!in_domain || avoided_for(inputs.health, server->id, inputs.now) >
                              base::milliseconds{0})
            continue;
        const expectation expected = expect(state, inputs, services, *server);
        capacity.total += server->slots;
        capacity.free += std::max(0, server->slots - expected.in_flight);
        capacity.release_rate += server->slots / expected.service.ms;
    }
    return capacity;
}

} // namespace mintknot::policy
