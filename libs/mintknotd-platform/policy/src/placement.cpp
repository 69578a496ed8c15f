#include <mintknot/policy/placement.hpp>

namespace mintknot::policy {

namespace {

const traffic::server* choose_decode(
    const selection_inputs& inputs, const placement_query& query,
    const decode_request& wanted) {
    const traffic::server* chosen =
        select_decode(inputs, query.excluded, wanted);
    if (chosen == nullptr && query.may_reuse_excluded &&
        !query.excluded.empty())
        chosen = select_decode(inputs, {}, wanted);
    return chosen;
}

placement
choose_plain(const selection_inputs& inputs, const placement_query& query) {
    const traffic::server* chosen = select_plain(inputs, query.excluded);
    if (chosen == nullptr)
        return {};
    if (query.kind == placement_kind::plain_with_free_slot &&
        traffic::total(inputs.loads, chosen->id).calls >= chosen->slots)
        return {};
    placement result;
    result.server = chosen->id;
    return result;
}

engine_outlook outlook_of(
    const selection_inputs& inputs, const traffic::server& engine,
    const decode_request& wanted) {
    const memory_use use =
        memory_use_of(inputs, traffic::total(inputs.loads, engine.id), wanted);
    return {
        use.after, use.peak_in,
        traffic::profile_age(inputs.loads, engine.id, inputs.now)};
}

/// Most servers that a query excludes; bounds the size of the datagram.
constexpr std::size_t max_excluded = 32;

} // namespace

placement
choose_servers(const selection_inputs& inputs, const placement_query& query) {
    if (query.kind == placement_kind::plain ||
        query.kind == placement_kind::plain_with_free_slot)
        return choose_plain(inputs, query);
    const traffic::server* prefill =
        query.kind == placement_kind::prefill_and_decode
            ? select_prefill(
                  inputs, query.excluded_prefill, query.prompt_tokens)
            : nullptr;
    decode_request wanted = decode_request_of(
        inputs, query,
        prefill == nullptr ? std::string() : prefill->data_centre);
    if (prefill != nullptr)
        wanted.version = prefill->version;
    const traffic::server* decode = choose_decode(inputs, query, wanted);
    placement result;
    if (decode == nullptr) {
        result.capacity = summarize_capacity(inputs, wanted);
        return result;
    }
    result.server = decode->id;
    if (wanted.profile)
        result.outlook = outlook_of(inputs, *decode, wanted);
    if (prefill != nullptr &&
        expected_prefill_time(inputs, *prefill, query.prompt_tokens) <
            query.max_prefill_time) {
        result.prefill = prefill->id;
        result.tokens_ahead =
            traffic::total(inputs.loads, prefill->id).prefill_tokens;
    }
    return result;
}

decode_request decode_request_of(
    const selection_inputs& inputs, const placement_query& query,
    const std::string& data_centre) {
    decode_request wanted{
        query.memory_tokens, usable_memory_share, data_centre, query.profile};
    // On the wire the points of a profile count from its arrival.
    if (wanted.profile)
        wanted.profile->start = inputs.now;
    return wanted;
}

void exclude_avoided(
    placement_query& query, const traffic::server_table& servers,
    const health_view& health, base::steady_time now) {
    std::vector<const traffic::server*> named;
    if (servers.partial)
        named = traffic::named_servers(servers, query.service);
    const std::vector<const traffic::server*>& known =
        servers.partial ? named : traffic::open_servers(servers, query.service);
    excluded_servers found;
    for (const traffic::server* server : known)
        if (is_avoided(health, server->id, now) ||
            avoided_until(health, server->id) > now)
            found.insert(server->id);
    if (found.size() > max_excluded || found.size() * 2 > known.size())
        return;
    query.excluded_prefill.insert(found.begin(), found.end());
    query.excluded.insert(found.begin(), found.end());
}

void exclude_unavailable(
    placement_query& query, const traffic::server_table& servers,
    const health_view& health, base::steady_time now) {
    excluded_servers found;
    const auto add = [&](const std::string& id) {
        const traffic::server* known = traffic::find(servers, id);
        const bool unavailable = known != nullptr &&
                                 known->service == query.service &&
                                 (traffic::leaves(servers, *known) ||
                                  rests(health.resting, id, now));
        if (unavailable && found.size() < max_excluded)
            found.insert(id);
    };
    for (const auto& [id, life] : servers.said_leaving)
        add(id);
    for (const auto& [id, until] : health.resting.until)
        add(id);
    if (found.empty())
        return;
    query.excluded_prefill.insert(found.begin(), found.end());
    query.excluded.insert(found.begin(), found.end());
    query.may_reuse_excluded = false;
}

void charge_placement(
    limit_view& limits, const traffic::server_table& servers,
    const std::string& service, const placement& placed,
    base::steady_time now) {
    if (limits.servers.empty())
        return;
    for (const traffic::server* server :
         traffic::open_servers(servers, service))
        if (!has_token(limits, server->id, now))
            note_token_shortage(limits, server->id, now);
    take_token(limits, placed.server, now);
    take_token(limits, placed.prefill, now);
}

traffic::load_map
placed_loads(const placement& placed, const placement_query& query) {
    traffic::load_map loads;
    if (placed.server.empty())
        return loads;
    traffic::server_load& decode = loads[placed.server];
    decode = {1, 0.0, query.memory_tokens};
    if (query.profile)
        decode.profile = *query.profile;
    if (!placed.prefill.empty())
        loads[placed.prefill] = {1, query.prompt_tokens, 0.0};
    return loads;
}

} // namespace mintknot::policy
