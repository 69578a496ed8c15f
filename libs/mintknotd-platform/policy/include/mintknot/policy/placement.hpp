/// @file
/// Which servers one request goes to, chosen in one step.
///
/// Memory of a decode engine is reserved before a prompt is read: a kept result
/// lapses within half a second, and prompts read for nothing were the largest
/// price of a router that did not. The prefill engine is left out, and the
/// decode engine reads the prompt itself, where it would miss what is left of
/// the target (engine_needs.hpp). Asked here or by a scheduler (group.hpp).
#ifndef MINTKNOT_POLICY_PLACEMENT_HPP
#define MINTKNOT_POLICY_PLACEMENT_HPP

#include <mintknot/policy/selection.hpp>

#include <set>
#include <string>

namespace mintknot::policy {

/// What a request needs servers for.
enum class placement_kind {
    plain,             ///< A server of a plain service.
    plain_with_room,   ///< The same, but only one with a free slot.
    decode,            ///< A decode engine alone.
    prefill_and_decode ///< An engine of each phase.
};

/// What a request needs, and where it must not go.
struct placement_query {
    std::string service;
    std::string data_centre; ///< Of the instance that has the request.
    placement_kind kind = placement_kind::plain;
    double prompt_tokens = 0.0;
    double memory_tokens = 0.0; ///< Of the decode engine.
    /// A prefill engine that needs longer is not worth waiting for.
    base::milliseconds read_limit{0};
    /// Whether a server that is ruled out is taken where there is no other.
    bool may_return = false;
    excluded_servers excluded;         ///< Plain servers or decode engines.
    excluded_servers excluded_prefill; ///< Prefill engines.
    /// Some servers to which the instance has idle connections.
    std::set<std::string> connected;
};

/// Where a request goes.
struct placement {
    std::string server;        ///< Plain or decode; empty: there is no room.
    std::string prefill;       ///< Empty: the decode engine reads the prompt.
    double tokens_ahead = 0.0; ///< That the prefill engine reads before.
    room_summary room; ///< Where a decode engine had no room: what was seen.
    std::string by;    ///< Host of the scheduler that has chosen; empty: here.
};

/// @return the servers for a request. Pure: no load is added.
placement choose(const selection_inputs& inputs, const placement_query& query);

/// Rules out what this instance avoids, for a query that goes to a scheduler:
/// the way from here to a server may be broken where the scheduler's is not. If
/// it is most of them, or dozens, the fault is here, and nothing is ruled out.
void exclude_avoided(
    placement_query& query, const traffic::server_table& servers,
    const health_view& health, base::steady_time now);

/// Rules out servers that have told this instance that they leave or rest, for
/// a query that goes to a scheduler, which may not know it: whatever the others
/// are like, these are not returned to.
void exclude_unavailable(
    placement_query& query, const traffic::server_table& servers,
    const health_view& health, base::steady_time now);

/// Consumes one token of each server that the request is placed on
/// (server_limit.hpp) and records which limited servers of the service had no
/// token available.
void charge_placement(
    limit_view& limits, const traffic::server_table& servers,
    const std::string& service, const placement& placed, base::steady_time now);

/// @return the load of a placed request, as it is until its prompt is read.
traffic::load_map
placed_loads(const placement& placed, const placement_query& query);

} // namespace mintknot::policy

#endif
