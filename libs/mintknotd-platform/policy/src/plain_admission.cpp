#include <mintknot/policy/plain_admission.hpp>

namespace mintknot::policy {

plain_decision admit_plain(
    plain_admission_state& /*state*/, const selection_inputs& /*inputs*/,
    const placement_query& /*query*/) {
    return {};
}

domain_capacity plain_capacity(
    const plain_admission_state& /*state*/,
    const selection_inputs& /*inputs*/) {
    return {};
}

} // namespace mintknot::policy
