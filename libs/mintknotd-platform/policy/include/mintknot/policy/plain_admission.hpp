/// @file
/// Admission of calls to plain servers: whether a call is sent, and to which
/// server, or refused at once.
#ifndef MINTKNOT_POLICY_PLAIN_ADMISSION_HPP
#define MINTKNOT_POLICY_PLAIN_ADMISSION_HPP

#include <mintknot/policy/capacity_claim.hpp>
#include <mintknot/policy/fair_share.hpp>
#include <mintknot/policy/placement.hpp>
#include <mintknot/policy/selection.hpp>

#include <optional>
#include <string>

namespace mintknot::policy {

/// What is known of the plain servers of a domain.
struct plain_admission_state {};

/// The decision for one call.
struct plain_decision {
    capacity_denial denial = capacity_denial::none;
    /// The chosen server; empty: choose_servers() chooses one.
    std::string server;
    /// Until the call could be sent, if it is denied.
    std::optional<base::milliseconds> expected_wait;
};

/// Decides on a call by the expected end at each server.
plain_decision admit_plain(
    plain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query);

/// @return the slots of the domain's servers as capacity at cost 1 a call.
domain_capacity plain_capacity(
    const plain_admission_state& state, const selection_inputs& inputs);

} // namespace mintknot::policy

#endif
