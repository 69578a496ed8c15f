#include <mintknot/policy/domain_admission.hpp>

namespace mintknot::policy {

namespace {

bool is_plain(const placement_query& query) {
    return query.kind == placement_kind::plain ||
           query.kind == placement_kind::plain_with_free_slot;
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

placement place_claim(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query) {
    if (!is_plain(query)) {
        placement result = choose_servers(inputs, query);
        if (result.server.empty())
            result.denial = capacity_denial::no_capacity;
        return result;
    }
    const plain_decision decision = admit_plain(state.plain, inputs, query);
    placement result;
    result.denial = decision.denial;
    result.server = decision.server;
    if (result.server.empty() && decision.denial == capacity_denial::none)
        result = choose_servers(inputs, query);
    complete_plain(state.plain, inputs, query, decision, result);
    // A service without a usable server is in an outage, not short of capacity.
    if (result.server.empty() && result.denial == capacity_denial::none &&
        !decision.unavailable)
        result.denial = capacity_denial::no_capacity;
    return result;
}

} // namespace mintknot::policy
