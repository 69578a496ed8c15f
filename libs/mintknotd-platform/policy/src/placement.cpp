#include <mintknot/policy/placement.hpp>

namespace mintknot::policy {

namespace {

/// Part of a decode engine's memory that is given out; the rest is for loads
/// that have not been told yet. Not measured.
constexpr double free_share = 0.97;

const traffic::server* choose_decode(
    const selection_inputs& inputs, const placement_query& query,
    const decode_request& wanted) {
    const traffic::server* chosen =
        select_decode(inputs, query.excluded, wanted);
    if (chosen == nullptr && query.may_return && !query.excluded.empty())
        chosen = select_decode(inputs, {}, wanted);
    return chosen;
}

placement
choose_plain(const selection_inputs& inputs, const placement_query& query) {
    const traffic::server* chosen = select_plain(inputs, query.excluded);
    if (chosen == nullptr)
        return {};
    if (query.kind == placement_kind::plain_with_room &&
        traffic::total(inputs.loads, chosen->id).calls >= chosen->slots)
        return {};
    placement result;
    result.server = chosen->id;
    return result;
}

/// Servers that a query rules out at most; bounds the datagram. Not measured.
constexpr std::size_t max_avoided = 32;

/// An engine that decodes reads at half the pace of one that reads only.
constexpr int self_read_factor = 2;
/// Part of the time for reading that a read by the decode engine may take: it
/// leaves as much for what comes between. Not measured.
constexpr int self_read_part = 2;
/// Next to all engines are idle while less than one of so many servers has any
/// work that is known here. A decode engine that reads the prompt itself then
/// holds up nobody, and spares the move of the memory and a connection: of
/// 3,523 prompts of a calm day each one was moved, 387 GB in all, and first
/// events came after 184 ms of the 900 they had (986 instances, 9,623 engines).
constexpr std::size_t servers_for_one_busy = 4;

bool mostly_idle(const selection_inputs& inputs) {
    const std::size_t busy =
        inputs.loads.own.size() + inputs.loads.of_peers.size();
    return inputs.all_loads_known &&
           busy * servers_for_one_busy < open_in_scope(inputs);
}

/// @return true if the decode engine should read the prompt, although a prefill
/// engine could.
bool reads_itself(
    const selection_inputs& inputs, const placement_query& query,
    const traffic::server& decode) {
    if (traffic::total(inputs.loads, decode.id).calls > 0 ||
        !mostly_idle(inputs))
        return false;
    const base::milliseconds alone =
        expected_read_time(inputs, decode, query.prompt_tokens);
    return alone * self_read_factor * self_read_part < query.read_limit;
}

} // namespace

placement choose(const selection_inputs& inputs, const placement_query& query) {
    if (query.kind == placement_kind::plain ||
        query.kind == placement_kind::plain_with_room)
        return choose_plain(inputs, query);
    const traffic::server* prefill =
        query.kind == placement_kind::prefill_and_decode
            ? select_prefill(
                  inputs, query.excluded_prefill, query.prompt_tokens)
            : nullptr;
    const decode_request wanted{
        query.memory_tokens, free_share,
        prefill == nullptr ? std::string() : prefill->data_centre};
    const traffic::server* decode = choose_decode(inputs, query, wanted);
    placement result;
    if (decode == nullptr) {
        result.room = summarize_room(inputs, wanted);
        return result;
    }
    result.server = decode->id;
    if (prefill != nullptr && !reads_itself(inputs, query, *decode) &&
        expected_read_time(inputs, *prefill, query.prompt_tokens) <
            query.read_limit) {
        result.prefill = prefill->id;
        result.tokens_ahead =
            traffic::total(inputs.loads, prefill->id).prefill_tokens;
    }
    return result;
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
        if (avoided(health, server->id, now) ||
            avoided_until(health, server->id) > now)
            found.insert(server->id);
    if (found.size() > max_avoided || found.size() * 2 > known.size())
        return;
    query.excluded_prefill.insert(found.begin(), found.end());
    query.excluded.insert(found.begin(), found.end());
}

traffic::load_map
placed_loads(const placement& placed, const placement_query& query) {
    traffic::load_map loads;
    if (placed.server.empty())
        return loads;
    loads[placed.server] = {1, 0.0, query.memory_tokens};
    if (!placed.prefill.empty())
        loads[placed.prefill] = {1, query.prompt_tokens, 0.0};
    return loads;
}

} // namespace mintknot::policy
