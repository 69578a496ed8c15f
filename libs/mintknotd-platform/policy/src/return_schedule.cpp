#include <mintknot/policy/return_schedule.hpp>

namespace mintknot::policy {

double kept_for_returns(
    const return_schedule& /*schedule*/, std::uint64_t /*digest*/,
    base::steady_time /*now*/) {
    return 0.0;
}

bool redeem_return(
    return_schedule& /*schedule*/, std::uint64_t /*digest*/,
    base::steady_time /*now*/) {
    return false;
}

} // namespace mintknot::policy
