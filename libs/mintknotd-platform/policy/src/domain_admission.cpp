#include <mintknot/policy/domain_admission.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <set>
#include <string>
#include <vector>

namespace mintknot::policy {

namespace {

/// Bound of a service time in milliseconds, far above deadlines.
constexpr double longest_service = 3600000.0;

bool is_plain(const placement_query& query) {
    return query.kind == placement_kind::plain ||
           query.kind == placement_kind::plain_with_free_slot;
}

/// Sums up the free memory of the decode engines that take requests now.
domain_capacity decode_capacity(const selection_inputs& inputs) {
    domain_capacity capacity;
    if (!inputs.service.engine)
        return capacity;
    const auto memory =
        static_cast<double>(inputs.service.engine->memory_tokens);
    const auto hold = static_cast<double>(
        std::max(inputs.mean_hold_time, base::milliseconds{1}).count());
    for (const traffic::server* engine :
         traffic::open_servers(inputs.servers, inputs.service.name)) {
        const bool in_domain = inputs.only_data_centre.empty() ||
                               inputs.only_data_centre == engine->data_centre;
        if (!in_domain || engine->phase == traffic::engine_phase::prefill ||
            is_avoided(inputs.health, engine->id, inputs.now))
            continue;
        const double held =
            traffic::total(inputs.loads, engine->id).memory_tokens;
        capacity.total += memory;
        capacity.free += std::max(0.0, memory - held);
        capacity.release_rate += held / hold;
    }
    return capacity;
}

/// @return the memory of an engine that requests may use; 0: unknown.
double usable_memory(const selection_inputs& inputs) {
    return inputs.service.engine
               ? static_cast<double>(inputs.service.engine->memory_tokens) *
                     usable_memory_share
               : 0.0;
}

/// @return the usable free memory of each decode engine of the domain that
/// takes requests now.
std::vector<engine_room> free_memory(const selection_inputs& inputs) {
    std::vector<engine_room> rooms;
    const double usable = usable_memory(inputs);
    for (const traffic::server* engine :
         traffic::open_servers(inputs.servers, inputs.service.name))
        if (takes_decode(inputs, *engine))
            rooms.push_back(
                {engine->id,
                 usable -
                     traffic::total(inputs.loads, engine->id).memory_tokens});
    return rooms;
}

/// @return the cost of the returns that a request must leave capacity for.
std::vector<double> costs_to_leave(
    return_schedule& returns, const selection_inputs& inputs,
    const domain_capacity& capacity, const capacity_claim& claim) {
    const auto window =
        static_cast<double>((keeps_before + return_grace).count());
    const double most = most_kept(
        returns, capacity.free + capacity.release_rate * window, inputs.now);
    if (inputs.all_loads_known)
        return kept_costs(
            returns, claim.caller_retry ? claim.digest : 0, inputs.now, most);
    // Without a scheduler, a caller may return to an instance that does not
    // know its promise.
    return claim.caller_retry
               ? std::vector<double>{}
               : kept_without_scheduler(returns, inputs.now, most);
}

/// @return the engines that a request of that cost may not use.
std::set<std::string> engines_to_leave(
    const selection_inputs& inputs, double cost,
    const std::vector<double>& kept) {
    if (kept.empty())
        return {};
    const std::vector<engine_room> rooms = free_memory(inputs);
    // What fits nowhere is denied for lack of capacity, not for returns.
    if (std::none_of(rooms.begin(), rooms.end(), [cost](const auto& room) {
            return room.free >= cost;
        }))
        return {};
    return engines_kept(rooms, cost, kept);
}

/// Chooses servers other than `kept`, which may include servers that were tried
/// before as far as the query allows that.
placement choose_beside(
    const selection_inputs& inputs, const placement_query& asked,
    const std::set<std::string>& kept) {
    if (kept.empty())
        return choose_servers(inputs, asked);
    excluded_servers left(kept.begin(), kept.end());
    // Avoided engines are no substitute for those kept for returns.
    for (const traffic::server* engine :
         traffic::open_servers(inputs.servers, inputs.service.name))
        if (is_avoided(inputs.health, engine->id, inputs.now))
            left.insert(engine->id);
    placement_query query = asked;
    query.may_reuse_excluded = false;
    query.excluded.insert(left.begin(), left.end());
    placement result = choose_servers(inputs, query);
    if (result.server.empty() && asked.may_reuse_excluded) {
        query.excluded = left;
        result = choose_servers(inputs, query);
    }
    if (result.server.empty() && !choose_servers(inputs, asked).server.empty())
        result.denial = capacity_denial::reserved_for_returns;
    return result;
}

/// Records the demand of first tries, and ends the promise to a caller that has
/// got capacity.
void note_try(
    return_schedule& returns, const selection_inputs& inputs,
    const share_request& request, bool placed) {
    const capacity_claim& claim = request.claim;
    // What overflows from other data centres counts only as far as it is
    // placed: it asks each domain.
    const bool counts = placed || inputs.only_data_centre.empty() ||
                        inputs.only_data_centre == request.data_centre;
    const bool first_try =
        !claim.caller_retry && !claim.waiting && !claim.begun;
    if (counts && first_try && std::isfinite(request.cost))
        note_first_try(returns.first_tries, request.cost, inputs.now);
    if (!placed && !claim.caller_retry && !claim.begun)
        note_first_try_denied(returns, inputs.now);
    if (placed && claim.digest != 0 &&
        (claim.caller_retry ||
         returns_on_time(returns, claim.digest, inputs.now)))
        end_promise(returns, claim.digest);
}

/// What a request may use, unless it is denied.
struct admission_result {
    capacity_denial denial = capacity_denial::none;
    std::set<std::string> kept; ///< Engines kept for returns.
};

/// Decides in the order plain admission, shares, promised returns.
admission_result admit(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query, const share_request& request) {
    const capacity_claim& claim = *query.claim;
    const bool redeemed =
        claim.digest != 0 &&
        returns_on_time(state.returns, claim.digest, inputs.now);
    if (claim.begun || redeemed)
        return {};
    const domain_capacity capacity = capacity_of(state, inputs, query);
    const capacity_denial denial =
        admit_by_share(state.shares, request, capacity, inputs.now);
    if (denial != capacity_denial::none)
        return {denial, {}};
    const std::vector<double> kept =
        costs_to_leave(state.returns, inputs, capacity, claim);
    if (!is_plain(query))
        return {
            capacity_denial::none,
            engines_to_leave(inputs, request.cost, kept)};
    const bool fits =
        kept.empty() ||
        capacity.free - std::accumulate(kept.begin(), kept.end(), 0.0) >=
            request.cost;
    return {
        fits ? capacity_denial::none : capacity_denial::reserved_for_returns,
        {}};
}

placement denied(
    capacity_denial why, const selection_inputs& inputs,
    const placement_query& query) {
    placement result;
    result.denial = why;
    if (!is_plain(query))
        result.capacity = summarize_capacity(
            inputs, {query.memory_tokens, usable_memory_share, {}});
    return result;
}

} // namespace

double cost_of(const placement_query& query) {
    return is_plain(query) ? 1.0 : query.memory_tokens;
}

domain_capacity capacity_of(
    const domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query) {
    return is_plain(query) ? plain_capacity(state.plain, inputs)
                           : decode_capacity(inputs);
}

return_decision plan_return(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query, base::milliseconds earliest) {
    const double usable = usable_memory(inputs);
    if (!is_plain(query) && usable > 0.0 && !(cost_of(query) <= usable))
        return final_refusal(*query.claim);
    const domain_capacity capacity = capacity_of(state, inputs, query);
    return_terms terms;
    terms.cost = cost_of(query);
    terms.release_rate = capacity.release_rate;
    terms.schedules = inputs.all_loads_known ? 1 : inputs.instances;
    terms.service_time = inputs.mean_hold_time;
    if (is_plain(query) && capacity.release_rate > 0.0)
        terms.service_time = base::milliseconds(static_cast<std::int64_t>(
            std::min(capacity.total / capacity.release_rate, longest_service)));
    terms.earliest = earliest;
    if (!is_plain(query)) {
        // The caller returns to this domain, whatever others have free.
        const auto wait = summarize_capacity(
                              inputs, {cost_of(query), usable_memory_share, {}})
                              .forecast.wait;
        terms.earliest = std::max(earliest, wait.value_or(earliest));
    }
    return plan_return(state.returns, *query.claim, terms, inputs.now);
}

placement place_claim(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query) {
    const share_request request{
        *query.claim, inputs.own_data_centre, cost_of(query)};
    plain_decision plain;
    if (is_plain(query))
        plain = admit_plain(state.plain, inputs, query);
    admission_result admitted{plain.denial, {}};
    if (admitted.denial == capacity_denial::none)
        admitted = admit(state, inputs, query, request);
    placement result;
    if (admitted.denial != capacity_denial::none)
        result = denied(admitted.denial, inputs, query);
    else if (!plain.server.empty())
        result.server = plain.server;
    else
        result = choose_beside(inputs, query, admitted.kept);
    result.expected_wait = plain.expected_wait;
    if (result.server.empty() && result.denial == capacity_denial::none)
        result.denial = capacity_denial::no_capacity;
    if (result.server.empty())
        note_denied(state.shares, request, inputs.now);
    else
        note_served(state.shares, request, inputs.now);
    note_try(state.returns, inputs, request, !result.server.empty());
    return result;
}

} // namespace mintknot::policy
