#include <mintknot/policy/domain_admission.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

bool is_plain(const placement_query& query) {
    return query.kind == placement_kind::plain ||
           query.kind == placement_kind::plain_with_free_slot;
}

/// Counts the free memory of an engine in whole requests: pieces that are too
/// small for the request are of no use to it.
void add_free(
    domain_capacity& capacity, const traffic::server& engine, double free,
    double needed) {
    if (free <= 0.0)
        return;
    capacity.free += needed > 0.0 ? std::floor(free / needed) * needed : free;
    if (free > capacity.largest_free) {
        capacity.largest_free = free;
        capacity.emptiest = engine.id;
    }
}

/// Sums up the memory of the decode engines that take requests now.
/// @param needed memory of the request.
domain_capacity decode_capacity(const selection_inputs& inputs, double needed) {
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
        const traffic::server_load load =
            traffic::total(inputs.loads, engine->id);
        capacity.total += memory;
        if (load.calls < engine->slots)
            add_free(
                capacity, *engine,
                memory * usable_memory_share - load.memory_tokens, needed);
        capacity.release_rate += load.memory_tokens / hold;
    }
    return capacity;
}

/// Plain calls and streams have different units of cost.
fair_share_state&
shares_of(domain_admission_state& state, const placement_query& query) {
    return is_plain(query) ? state.plain_shares : state.shares;
}

/// Decides in the order plain admission, shares, promised returns.
share_decision decide(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query, const share_request& request) {
    const capacity_claim& claim = *query.claim;
    const bool redeemed =
        claim.digest != 0 &&
        redeem_return(state.returns, claim.digest, inputs.now);
    if (claim.begun || redeemed)
        return {};
    const domain_capacity capacity = capacity_of(state, inputs, query);
    fair_share_state& shares = shares_of(state, query);
    share_decision decision =
        is_plain(query)
            ? admit_call_by_share(shares, request, capacity, inputs.now)
            : admit_by_share(shares, request, capacity, inputs.now);
    if (decision.denial != capacity_denial::none)
        return decision;
    const double kept =
        kept_for_returns(state.returns, claim.digest, inputs.now);
    if (kept > 0.0 && capacity.free - kept < request.cost)
        decision.denial = capacity_denial::reserved_for_returns;
    return decision;
}

share_request
request_of(const selection_inputs& inputs, const placement_query& query) {
    share_request request{*query.claim, inputs.own_data_centre, cost_of(query)};
    if (!inputs.all_loads_known)
        request.part_of_demand =
            1.0 /
            static_cast<double>(std::max<std::size_t>(inputs.instances, 1));
    return request;
}

/// @return the query without a server that is left to others.
placement_query without(placement_query query, const std::string& server) {
    if (!server.empty())
        query.excluded.insert(server);
    return query;
}

placement denied(
    const share_decision& decision, const selection_inputs& inputs,
    const placement_query& query) {
    placement result;
    result.denial = decision.denial;
    result.denied_by = decision.inputs;
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
    return is_plain(query)
               ? plain_capacity(state.plain, inputs)
               : decode_capacity(
                     inputs,
                     std::max(query.memory_tokens, state.shares.mean_cost));
}

placement place_claim(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query) {
    const share_request request = request_of(inputs, query);
    fair_share_state& shares = shares_of(state, query);
    note_asked(shares, request, inputs.now);
    plain_decision plain;
    if (is_plain(query))
        plain = admit_plain(state.plain, inputs, query);
    share_decision decision;
    decision.denial = plain.denial;
    if (plain.denial == capacity_denial::none)
        decision = decide(state, inputs, query, request);
    placement result;
    if (decision.denial != capacity_denial::none)
        result = denied(decision, inputs, query);
    else if (!plain.server.empty())
        result.server = plain.server;
    else
        result = choose_servers(inputs, without(query, decision.set_aside));
    if (!result.server.empty()) {
        note_served(shares, request, inputs.now);
        return result;
    }
    result.expected_wait = plain.expected_wait;
    if (!is_plain(query))
        result.expected_wait = decision.expected_wait;
    if (result.denial == capacity_denial::none)
        result.denial = capacity_denial::no_capacity;
    note_denied(
        shares, request, result.denial, decision.expected_wait, inputs.now);
    return result;
}

} // namespace mintknot::policy
