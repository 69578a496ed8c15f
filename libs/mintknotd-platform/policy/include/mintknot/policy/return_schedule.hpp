/// @file
/// The schedule of callers that were refused for want of capacity and told when
/// to return.
#ifndef MINTKNOT_POLICY_RETURN_SCHEDULE_HPP
#define MINTKNOT_POLICY_RETURN_SCHEDULE_HPP

#include <mintknot/base/time.hpp>

#include <cstdint>

namespace mintknot::policy {

/// The return times that a domain has promised.
struct return_schedule {};

/// @return the cost kept for returns that are due, without the one of the
/// request with that digest.
double kept_for_returns(
    const return_schedule& schedule, std::uint64_t digest,
    base::steady_time now);

/// Ends the promise to a caller that has returned at its time.
/// @return true if there was such a promise and it is due.
bool redeem_return(
    return_schedule& schedule, std::uint64_t digest, base::steady_time now);

} // namespace mintknot::policy

#endif
