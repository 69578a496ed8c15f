/// @file
/// Admission of calls to plain servers: whether a call is sent, and to which
/// server, or refused at once.
///
/// Inputs: loads (exact at a scheduler apart from ends, which are reported up
/// to 60 ms late and estimated until then; up to 60 ms old in groups without
/// schedulers), service times (service_times.hpp), rejections (plain_flow.hpp),
/// the target of the call, and its priority (priority_reserve.hpp). A call goes
/// to the server where it is expected to end first, if that is within its
/// target or a slot is free. Servers that are avoided, rest, have no token or
/// leave are treated as in selection.hpp. Guards against full queues: of the
/// arrivals of a burst of twice the capacity 0.61 were rejected by servers, and
/// the calls that were queued had lost their target in the queue. Log events:
/// `sent`, `no_room`, with `calls_ahead`, `service_ms` and `service_age_ms`.
#ifndef MINTKNOT_POLICY_PLAIN_ADMISSION_HPP
#define MINTKNOT_POLICY_PLAIN_ADMISSION_HPP

#include <mintknot/policy/capacity_claim.hpp>
#include <mintknot/policy/placement.hpp>
#include <mintknot/policy/plain_flow.hpp>
#include <mintknot/policy/priority_reserve.hpp>
#include <mintknot/policy/selection.hpp>

#include <array>
#include <optional>
#include <string>
#include <unordered_map>

namespace mintknot::policy {

/// What is known of the plain servers of a domain.
struct plain_admission_state {
    std::unordered_map<std::string, plain_flow> flows; ///< By server ID.
    priority_reserve reserve;
    /// Until when capacity counts as short, by priority: a call of that or of a
    /// more urgent one was denied it.
    std::array<base::steady_time, priority_reserve::priorities> short_until{};
    /// When the first call was decided on, the first one after a pause in
    /// which another instance may have decided, and the last one.
    base::steady_time created{};
    base::steady_time began{};
    base::steady_time last_call{};
};

/// The decision for one call.
struct plain_decision {
    capacity_denial denial = capacity_denial::none;
    /// The chosen server; empty: choose_servers() chooses one.
    std::string server;
    /// Until the call could be sent, if it is denied.
    std::optional<base::milliseconds> expected_wait;
    /// What was expected of the chosen server or, if the call is denied, of the
    /// one that could take it first; nullopt if loads are not known.
    std::optional<plain_forecast> forecast;
    /// No server may be used at all, whatever its load: none is open, or all
    /// rest, have no token or were tried.
    bool unavailable = false;
};

/// Decides on a call by the expected end at each server.
/// Precondition: the query has a claim.
plain_decision admit_plain(
    plain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query);

/// Records that the call is placed on a server.
void note_plain_placed(
    plain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query, const std::string& server);

/// @return the slots of the domain's servers as capacity at cost 1 a call.
domain_capacity plain_capacity(
    const plain_admission_state& state, const selection_inputs& inputs);

} // namespace mintknot::policy

#endif
