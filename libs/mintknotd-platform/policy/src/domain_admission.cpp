#include <mintknot/policy/domain_admission.hpp>

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <set>
#include <string>
#include <vector>

namespace mintknot::policy {

namespace {

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

/// @return the usable free memory of each decode engine of the domain that
/// takes requests now.
std::vector<engine_room> free_memory(const selection_inputs& inputs) {
    std::vector<engine_room> rooms;
    const double usable =
        inputs.service.engine
            ? static_cast<double>(inputs.service.engine->memory_tokens) *
                  usable_memory_share
            : 0.0;
    for (const traffic::server* engine :
         traffic::open_servers(inputs.servers, inputs.service.name)) {
        const bool in_domain = inputs.only_data_centre.empty() ||
                               inputs.only_data_centre == engine->data_centre;
        if (in_domain && engine->phase != traffic::engine_phase::prefill &&
            !is_avoided(inputs.health, engine->id, inputs.now))
            rooms.push_back(
                {engine->id,
                 usable -
                     traffic::total(inputs.loads, engine->id).memory_tokens});
    }
    return rooms;
}

/// Excludes what is kept for promised returns from the servers that a request
/// may use. @return whether it may use any.
bool leave_kept(
    return_schedule& returns, const selection_inputs& inputs,
    const domain_capacity& capacity, placement_query& query) {
    const capacity_claim& claim = *query.claim;
    // Without a scheduler, a caller may return to an instance that does not
    // know its promise.
    const bool alone = !inputs.all_loads_known;
    if (alone && claim.caller_retry)
        return true;
    const std::vector<double> kept =
        alone ? costs_nearby(returns, inputs.now)
              : kept_costs(returns, claim.digest, inputs.now);
    if (kept.empty())
        return true;
    if (is_plain(query))
        return capacity.free - std::accumulate(kept.begin(), kept.end(), 0.0) >=
               cost_of(query);
    const std::vector<engine_room> rooms = free_memory(inputs);
    const double cost = cost_of(query);
    // What fits nowhere is denied for lack of capacity, not for returns.
    if (std::none_of(rooms.begin(), rooms.end(), [cost](const auto& room) {
            return room.free >= cost;
        }))
        return true;
    const std::set<std::string> engines = engines_kept(rooms, cost, kept);
    query.excluded.insert(engines.begin(), engines.end());
    query.may_reuse_excluded = false;
    return engines.size() < rooms.size();
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
    if (counts && !claim.caller_retry && !claim.waiting && !claim.begun)
        note_first_try(returns.first_tries, request.cost, inputs.now);
    if (placed && claim.digest != 0)
        end_promise(returns, claim.digest);
}

/// Decides in the order plain admission, shares, promised returns.
/// @param query without the servers that are kept for returns afterwards.
capacity_denial deny(
    domain_admission_state& state, const selection_inputs& inputs,
    placement_query& query, const share_request& request) {
    const capacity_claim& claim = *query.claim;
    const bool redeemed =
        claim.digest != 0 &&
        returns_on_time(state.returns, claim.digest, inputs.now);
    if (claim.begun || redeemed)
        return capacity_denial::none;
    const domain_capacity capacity = capacity_of(state, inputs, query);
    const capacity_denial denial =
        admit_by_share(state.shares, request, capacity, inputs.now);
    if (denial != capacity_denial::none)
        return denial;
    return leave_kept(state.returns, inputs, capacity, query)
               ? capacity_denial::none
               : capacity_denial::reserved_for_returns;
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
    const domain_capacity capacity = capacity_of(state, inputs, query);
    return_terms terms;
    terms.cost = cost_of(query);
    terms.release_rate = capacity.release_rate;
    terms.schedules = inputs.all_loads_known ? 1 : inputs.instances;
    terms.service_time = inputs.mean_hold_time;
    if (is_plain(query) && capacity.release_rate > 0.0)
        terms.service_time = base::milliseconds(
            static_cast<std::int64_t>(capacity.total / capacity.release_rate));
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
    const placement_query& asked) {
    placement_query query = asked;
    const share_request request{
        *asked.claim, inputs.own_data_centre, cost_of(asked)};
    plain_decision plain;
    if (is_plain(query))
        plain = admit_plain(state.plain, inputs, query);
    capacity_denial denial = plain.denial;
    if (denial == capacity_denial::none)
        denial = deny(state, inputs, query, request);
    placement result;
    if (denial != capacity_denial::none)
        result = denied(denial, inputs, query);
    else if (!plain.server.empty())
        result.server = plain.server;
    else
        result = choose_servers(inputs, query);
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
