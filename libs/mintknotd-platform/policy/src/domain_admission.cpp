#include <mintknot/policy/domain_admission.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

bool is_plain(const placement_query& query) {
    return query.kind == placement_kind::plain ||
           query.kind == placement_kind::plain_with_free_slot;
}

/// Sums up the free memory of the decode engines that take requests now.
domain_capacity
decode_capacity(const selection_inputs& inputs, const placement_query& query) {
    domain_capacity capacity;
    if (!inputs.service.engine)
        return capacity;
    const auto memory =
        static_cast<double>(inputs.service.engine->memory_tokens);
    const auto hold = static_cast<double>(
        std::max(inputs.mean_hold_time, base::milliseconds{1}).count());
    // Without a memory of its own the request shows what the others take.
    decode_request others = decode_request_of(inputs, query, {});
    others.memory_tokens = 0.0;
    if (others.profile)
        others.profile = traffic::memory_profile{};
    for (const traffic::server* engine :
         traffic::open_servers(inputs.servers, inputs.service.name)) {
        const bool in_domain = inputs.only_data_centre.empty() ||
                               inputs.only_data_centre == engine->data_centre;
        if (!in_domain || engine->phase == traffic::engine_phase::prefill ||
            is_avoided(inputs.health, engine->id, inputs.now))
            continue;
        const memory_use use = memory_use_of(
            inputs, traffic::total(inputs.loads, engine->id), others);
        capacity.total += memory;
        const double usable = others.profile ? use.usable : memory;
        capacity.free += std::max(0.0, usable - use.after);
        capacity.release_rate += use.before / hold;
    }
    return capacity;
}

/// Decides in the order plain admission, shares, promised returns.
capacity_denial deny(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query, const share_request& request) {
    const capacity_claim& claim = *query.claim;
    const bool redeemed =
        claim.digest != 0 &&
        redeem_return(state.returns, claim.digest, inputs.now);
    if (claim.begun || redeemed)
        return capacity_denial::none;
    const domain_capacity capacity = capacity_of(state, inputs, query);
    const capacity_denial denial =
        admit_by_share(state.shares, request, capacity, inputs.now);
    if (denial != capacity_denial::none)
        return denial;
    const double kept =
        kept_for_returns(state.returns, claim.digest, inputs.now);
    if (kept > 0.0 && capacity.free - kept < request.cost)
        return capacity_denial::reserved_for_returns;
    return capacity_denial::none;
}

placement denied(
    capacity_denial why, const selection_inputs& inputs,
    const placement_query& query) {
    placement result;
    result.denial = why;
    if (!is_plain(query))
        result.capacity =
            summarize_capacity(inputs, decode_request_of(inputs, query, {}));
    return result;
}

/// Adds what is known of a plain call to its placement and, if it is placed,
/// counts it.
void complete_plain(
    plain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query, const plain_decision& decision,
    placement& result) {
    result.expected_wait = decision.expected_wait;
    result.plain = decision.forecast;
    if (!result.server.empty())
        note_plain_placed(state, inputs, query, result.server);
    else if (result.denial != capacity_denial::none)
        result.capacity.forecast = {
            decision.expected_wait, plain_capacity(state, inputs).release_rate};
}

} // namespace

double cost_of(const placement_query& query) {
    return is_plain(query) ? 1.0 : query.memory_tokens;
}

domain_capacity capacity_of(
    const domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query) {
    return is_plain(query) ? plain_capacity(state.plain, inputs)
                           : decode_capacity(inputs, query);
}

placement place_claim(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query) {
    const share_request request{
        *query.claim, inputs.own_data_centre, cost_of(query)};
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
    if (is_plain(query))
        complete_plain(state.plain, inputs, query, plain, result);
    if (result.server.empty() && result.denial == capacity_denial::none &&
        !plain.unavailable)
        result.denial = capacity_denial::no_capacity;
    if (result.server.empty())
        note_denied(state.shares, request, inputs.now);
    else
        note_served(state.shares, request, inputs.now);
    return result;
}

} // namespace mintknot::policy
