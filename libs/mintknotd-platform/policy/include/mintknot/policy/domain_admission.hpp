/// @file
/// Placement with admission control: decides whether a request may take
/// capacity of a domain (domain.hpp), and chooses its servers.
///
/// Used while capacity is shared (capacity_sharing.hpp), by the scheduler of a
/// domain for all its instances, and in groups without schedulers by each
/// instance for its own requests. Inputs: the claim of the request, loads
/// (selection.hpp) and the state below. Log events: `no_room`, `given_up`.
#ifndef MINTKNOT_POLICY_DOMAIN_ADMISSION_HPP
#define MINTKNOT_POLICY_DOMAIN_ADMISSION_HPP

#include <mintknot/policy/plain_admission.hpp>

namespace mintknot::policy {

/// What the admission control of one domain remembers. Lost with its process.
struct domain_admission_state {
    plain_admission_state plain;
};

/// Chooses the servers of a request with a claim, or denies it capacity.
/// Precondition: the query has a claim.
placement place_claim(
    domain_admission_state& state, const selection_inputs& inputs,
    const placement_query& query);

} // namespace mintknot::policy

#endif
