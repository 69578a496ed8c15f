/// @file
/// Sharing of scarce capacity by priority, organisation and data centre.
#ifndef MINTKNOT_POLICY_FAIR_SHARE_HPP
#define MINTKNOT_POLICY_FAIR_SHARE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/capacity_claim.hpp>

#include <string>

namespace mintknot::policy {

/// Capacity of the servers of one domain, in units of cost: tokens of decode
/// memory, or calls of plain servers.
struct domain_capacity {
    double total = 0.0;
    double free = 0.0;
    double release_rate = 0.0; ///< Cost released per millisecond.
};

/// A request for a share of a domain's capacity.
struct share_request {
    const capacity_claim& claim;
    std::string data_centre; ///< Of the instance that asks.
    double cost = 0.0;
};

/// Who has asked for capacity of a domain recently, and who got it.
struct fair_share_state {};

/// Decides whether a request may take capacity now.
capacity_denial admit_by_share(
    fair_share_state& state, const share_request& request,
    const domain_capacity& capacity, base::steady_time now);

/// Records that a request was placed.
void note_served(
    fair_share_state& state, const share_request& request,
    base::steady_time now);

/// Records that a request was denied capacity, for whatever reason.
void note_denied(
    fair_share_state& state, const share_request& request,
    base::steady_time now);

} // namespace mintknot::policy

#endif
