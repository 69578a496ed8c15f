#include <mintknot/relay/router_state.hpp>

#include <mintknot/policy/group.hpp>
#include <mintknot/policy/queue_order.hpp>
#include <mintknot/policy/retry_quota.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace mintknot::relay {

namespace {

/// Logged if the age of the server table is unknown.
constexpr base::milliseconds unknown_age{-1};

} // namespace

policy::configuration_freshness
configuration_freshness_of(const router_context& context) {
    policy::configuration_freshness known;
    known.revocation_bound = context.options.revocation_bound;
    if (context.state.configuration_confirmed)
        known.age = std::chrono::duration_cast<base::milliseconds>(
            context.loop.now() - *context.state.configuration_confirmed);
    return known;
}

std::optional<base::milliseconds>
server_table_age(const router_context& context) {
    const auto confirmed = context.state.server_table_confirmed;
    if (!confirmed || context.state.servers.partial)
        return std::nullopt;
    return std::chrono::duration_cast<base::milliseconds>(
        context.loop.now() - *confirmed);
}

std::int64_t server_table_age_ms(const router_context& context) {
    return server_table_age(context).value_or(unknown_age).count();
}

void notify_load_change(router_context& context) {
    if (context.state.on_load_change)
        context.state.on_load_change();
}

void add_load(
    router_context& context, const std::string& server_id,
    const traffic::server_load& load) {
    traffic::add(context.state.loads, server_id, load);
    if (context.state.on_load_added)
        context.state.on_load_added();
}

void remove_load(
    router_context& context, const std::string& server_id,
    const traffic::server_load& load) {
    traffic::remove(context.state.loads, server_id, load);
    notify_load_change(context);
    context.queue.notify_capacity_freed();
}

void note_peer_retries(
    router_state& state, const std::string& peer, std::uint64_t incarnation,
    const policy::usage_map& usage, base::steady_time now) {
    std::erase_if(state.retries_of_peers, [&](const auto& item) {
        return now - item.second.received_at > state.retry_bounds.window;
    });
    state.retries_of_peers[{peer, incarnation}] = {usage, now};
}

policy::fleet_usage fleet_usage_of(
    const router_state& state, const std::string& service,
    base::steady_time now) {
    policy::fleet_usage fleet;
    for (const auto& [peer, reported] : state.retries_of_peers) {
        if (now - reported.received_at > state.retry_bounds.window)
            continue;
        if (now - reported.received_at <= policy::peer_lifetime)
            ++fleet.heard;
        const auto found = reported.by_service.find(service);
        if (found == reported.by_service.end())
            continue;
        fleet.peers.requests += found->second.requests;
        fleet.peers.retries += found->second.retries;
    }
    return fleet;
}

void note_peer_waiting(
    router_state& state, const std::string& peer,
    const std::map<std::string, double>& tokens, base::steady_time now) {
    std::erase_if(state.waiting_of_peers, [&](const auto& item) {
        return now - item.second.received_at > traffic::load_life;
    });
    if (tokens.empty())
        state.waiting_of_peers.erase(peer);
    else
        state.waiting_of_peers[peer] = {tokens, now};
}

double peer_tokens_ahead(
    const router_state& state, const std::string& service,
    base::steady_time now) {
    double sum = 0.0;
    for (const auto& [peer, reported] : state.waiting_of_peers) {
        const auto found = reported.by_service.find(service);
        if (found != reported.by_service.end() &&
            now - reported.received_at <= traffic::load_life)
            sum += found->second;
    }
    return sum * policy::peer_share_ahead;
}

policy::phase_demand group_demand(
    const router_state& state, const std::string& service,
    base::steady_time now) {
    policy::phase_demand sum;
    const auto own = state.demands.find(service);
    if (own != state.demands.end())
        policy::add(sum, own->second);
    for (const auto& [host, reported] : state.demands_of_peers) {
        const auto found = reported.by_service.find(service);
        if (found != reported.by_service.end() &&
            now - reported.received_at <= peer_demand_lifetime)
            policy::add(sum, found->second);
    }
    return sum;
}

std::optional<base::milliseconds>
limited_retry_after(router_context& context, const std::string& service) {
    const base::steady_time now = context.loop.now();
    const policy::health_view& health = context.state.health;
    double rate = 0.0;
    bool limited = false;
    std::optional<base::milliseconds> shortest_wait;
    for (const traffic::server* server :
         traffic::open_servers(context.state.servers, service)) {
        // A lack of prefill engines does not cause refusals.
        if (server->phase == traffic::engine_phase::prefill)
            continue;
        const base::milliseconds wait = std::max(
            policy::time_until_token(health.limits, server->id, now),
            base::time_left(policy::rest_end(health.resting, server->id), now));
        if (wait == base::milliseconds{0})
            return std::nullopt;
        shortest_wait = std::min(wait, shortest_wait.value_or(wait));
        const auto limit = policy::limit_of(health.limits, server->id);
        rate += limit.value_or(0.0);
        limited |= limit.has_value();
    }
    if (!limited)
        return std::nullopt;
    const double share =
        rate /
        static_cast<double>(std::max<std::size_t>(context.state.instances, 1));
    return policy::schedule_limited_retry_after(
        context.state.retry_after_schedules[service], *shortest_wait, share,
        now);
}

base::milliseconds
outage_retry_after(router_context& context, const std::string& service) {
    if (const auto limited = limited_retry_after(context, service))
        return *limited;
    const auto rest = policy::time_until_first_rest_end(
        context.state.health.resting,
        traffic::open_servers(context.state.servers, service),
        context.loop.now());
    if (rest)
        return *rest;
    const base::milliseconds age = policy::outage_age(
        context.state.health,
        traffic::open_servers(context.state.servers, service),
        context.loop.now());
    return policy::outage_retry_after(age);
}

policy::spend_terms
spend_terms_for(const router_context& context, const std::string& service) {
    const std::size_t instances = context.state.instances;
    // Large groups do not use the peers' usage (retry_quota.hpp), so the sum
    // over all peers is not computed for them.
    const policy::fleet_usage fleet =
        policy::is_large_group(instances)
            ? policy::fleet_usage{}
            : fleet_usage_of(context.state, service, context.loop.now());
    return {instances, fleet, context.state.started};
}

bool spend_retry(router_context& context, const std::string& service) {
    const base::steady_time now = context.loop.now();
    policy::retry_allowance& allowance =
        context.state.retry_allowances[service];
    const policy::retry_bounds& bounds = context.state.retry_bounds;
    const policy::spend_terms terms = spend_terms_for(context, service);
    const bool allowed = policy::spend_retry(allowance, bounds, terms, now);
    const int missing =
        policy::retries_to_borrow(allowance, bounds, terms, now);
    if (missing > 0 && context.state.on_retries_low)
        context.state.on_retries_low(service, missing);
    return allowed;
}

namespace {

/// Maximum number of servers with idle connections in a placement query; bounds
/// the size of its datagram.
constexpr std::size_t max_connected_servers = 8;

std::set<std::string>
connected_servers(const router_context& context, const std::string& service) {
    std::set<std::string> found;
    for (const std::string& id : context.pool.idle_servers()) {
        const traffic::server* server =
            traffic::find(context.state.servers, id);
        if (server != nullptr && server->service == service &&
            found.size() < max_connected_servers)
            found.insert(id);
    }
    return found;
}

} // namespace

std::unique_ptr<placement_ticket> place_request(
    router_context& context, const traffic::service& target,
    policy::placement_query query, const placement_handler& then) {
    query.connected = connected_servers(context, target.name);
    if (context.placement != nullptr && context.placement->active())
        return context.placement->request_placement(std::move(query), then);
    policy::selection_inputs inputs = make_selection_inputs(context, target);
    inputs.connected = &query.connected;
    inputs.only_version = query.version;
    then(place_here(context, inputs, query));
    return nullptr;
}

policy::placement place_here(
    router_context& context, const policy::selection_inputs& inputs,
    const policy::placement_query& query) {
    policy::placement placed =
        query.claim
            ? policy::place_claim(
                  context.state
                      .admissions[{query.service, inputs.only_data_centre}],
                  inputs, query)
            : policy::choose_servers(inputs, query);
    policy::charge_placement(
        context.state.health.limits, context.state.servers, query.service,
        placed, context.loop.now());
    return placed;
}

policy::selection_inputs
make_selection_inputs(router_context& context, const traffic::service& target) {
    traffic::expire(context.state.loads, context.loop.now());
    refresh_streams(context);
    policy::selection_inputs inputs{
        context.state.servers,
        context.state.loads,
        context.state.health,
        context.state.prefill_rates,
        target,
        context.options.data_centre,
        context.state.instances,
        context.loop.now(),
        [&context] { return context.draw_uniform(); }};
    inputs.plain_times = &context.state.plain_times;
    inputs.mean_hold_time =
        policy::mean_hold_time(context.state.demands[target.name]);
    return inputs;
}

} // namespace mintknot::relay
