/// @file
/// Placement: chooses all servers of a request in one step.
///
/// Decode memory is reserved before the prompt is read, because an engine drops
/// a prefill result within half a second, and prompts that were read in vain
/// were the largest cost of a router that did not reserve. No prefill engine is
/// used, and the decode engine reads the prompt itself, if a prefill engine
/// would miss what is left of the target (engine_needs.hpp). Runs in this
/// instance or in a scheduler (group.hpp).
#ifndef MINTKNOT_POLICY_PLACEMENT_HPP
#define MINTKNOT_POLICY_PLACEMENT_HPP

#include <mintknot/policy/capacity_claim.hpp>
#include <mintknot/policy/selection.hpp>

#include <optional>
#include <set>
#include <string>

namespace mintknot::policy {

/// The kind of servers that a request needs.
enum class placement_kind {
    plain,                ///< A server of a plain service.
    plain_with_free_slot, ///< The same, but only one with a free slot.
    decode,               ///< A decode engine alone.
    prefill_and_decode    ///< An engine of each phase.
};

/// The requirements of a request, and the servers that it must not use.
struct placement_query {
    std::string service;
    std::string data_centre; ///< Of the instance that handles the request.
    placement_kind kind = placement_kind::plain;
    double prompt_tokens = 0.0;
    double memory_tokens = 0.0; ///< To reserve on the decode engine.
    /// No prefill engine is used if the prefill would take longer.
    base::milliseconds max_prefill_time{0};
    /// Whether an excluded server may be used if there is no other.
    bool may_reuse_excluded = false;
    /// Software version that all servers must have (stream_origin.hpp); empty:
    /// any.
    std::optional<std::string> version{};
    excluded_servers excluded;         ///< Plain servers or decode engines.
    excluded_servers excluded_prefill; ///< Prefill engines.
    /// Some of the servers to which the instance has idle connections.
    std::set<std::string> connected;
    /// Memory that the stream is expected to hold from now on, for services
    /// with large events while capacity is shared (memory_profile.hpp).
    std::optional<traffic::memory_profile> profile;
    /// Who asks; only while capacity is shared (capacity_sharing.hpp).
    std::optional<capacity_claim> claim;
};

/// What was expected of a plain server when a call was decided on.
struct plain_forecast {
    int calls_ahead = 0; ///< Calls that must end before it gets a slot.
    base::milliseconds service{0}; ///< Time in the slot.
    /// Age of `service`; nullopt: learned from other servers, or assumed.
    std::optional<base::milliseconds> service_age;
};

/// Forecast of the memory of a decode engine.
struct engine_outlook {
    double peak_tokens = 0.0; ///< With the margin of memory_profile.hpp.
    base::milliseconds peak_in{0};
    /// Age of the last report of another instance about the engine's streams;
    /// nothing: there is none.
    std::optional<base::milliseconds> report_age;
};

/// The servers chosen for a request.
struct placement {
    std::string server;  ///< Plain or decode; empty: none is free.
    std::string prefill; ///< Empty: the decode engine reads the prompt.
    /// Queued at the prefill engine before this prompt.
    double tokens_ahead = 0.0;
    /// Forecast of the chosen decode engine, with the request, for a request
    /// with a profile; nothing: not known.
    std::optional<engine_outlook> outlook;
    /// State of the decode engines if none was free.
    capacity_summary capacity;
    /// Why a request with a claim got no server.
    capacity_denial denial = capacity_denial::none;
    /// Until a denied plain call could be sent; nothing: not known.
    std::optional<base::milliseconds> expected_wait;
    /// Of a plain call with a claim, if loads are known.
    std::optional<plain_forecast> plain{};
    /// Scheduler that placed the request; empty: this instance.
    std::string scheduler_host;
};

/// Share of a decode engine's memory that is used; the rest allows for loads
/// that have not been reported yet.
inline constexpr double usable_memory_share = 0.97;

/// @return the servers for a request. Changes no state: loads are not updated.
placement
choose_servers(const selection_inputs& inputs, const placement_query& query);

/// @return what a query requires of a decode engine.
/// @param data_centre of the prefill engine, or empty.
decode_request decode_request_of(
    const selection_inputs& inputs, const placement_query& query,
    const std::string& data_centre);

/// Excludes the servers that this instance avoids from a query that goes to a
/// scheduler: the path from here to a server may be broken while that of the
/// scheduler is not. If these are more than half of the servers, or more than
/// 32, the fault is likely on this side, and nothing is excluded.
void exclude_avoided(
    placement_query& query, const traffic::server_table& servers,
    const health_view& health, base::steady_time now);

/// Excludes servers that have told this instance that they are leaving or must
/// rest (a backoff that the server asks for, server_rest.hpp) from a query that
/// goes to a scheduler, which may not know it. Such servers are not used even
/// if there is no other.
void exclude_unavailable(
    placement_query& query, const traffic::server_table& servers,
    const health_view& health, base::steady_time now);

/// Consumes one token of each server that the request is placed on
/// (server_limit.hpp) and records which limited servers of the service had no
/// token available.
void charge_placement(
    limit_view& limits, const traffic::server_table& servers,
    const std::string& service, const placement& placed, base::steady_time now);

/// @return the load that a placed request adds until its prompt has been read.
traffic::load_map
placed_loads(const placement& placed, const placement_query& query);

} // namespace mintknot::policy

#endif
