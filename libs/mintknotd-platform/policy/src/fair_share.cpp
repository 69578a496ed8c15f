#include <mintknot/policy/fair_share.hpp>

namespace mintknot::policy {

capacity_denial admit_by_share(
    fair_share_state& /*state*/, const share_request& /*request*/,
    const domain_capacity& /*capacity*/, base::steady_time /*now*/) {
    return capacity_denial::none;
}

void note_served(
    fair_share_state& /*state*/, const share_request& /*request*/,
    base::steady_time /*now*/) {}

void note_denied(
    fair_share_state& /*state*/, const share_request& /*request*/,
    base::steady_time /*now*/) {}

} // namespace mintknot::policy
