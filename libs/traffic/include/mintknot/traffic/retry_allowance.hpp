/// @file
/// How many repeated sends an instance may make for a service.
#ifndef MINTKNOT_TRAFFIC_RETRY_ALLOWANCE_HPP
#define MINTKNOT_TRAFFIC_RETRY_ALLOWANCE_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>

namespace mintknot::traffic {

/// The bound that all instances together must keep: within any window, at
/// most `ratio` repeats for each request, and `extra` on top.
struct retry_bounds {
    double ratio = 0.2;
    double extra = 20.0;
    base::milliseconds window{10000};
};

/// One instance's part of the bound. It needs no coordination: each instance
/// spends only from its own requests and from an equal part of the extra.
struct retry_allowance {
    double earned = 0.0; ///< From requests.
    double shared = 0.0; ///< From the part of the extra.
    base::steady_time refilled{};
    bool started = false;
};

/// Adds one request of the service.
void earn(retry_allowance& allowance, const retry_bounds& bounds);

/// Takes one repeat. @param instances how many there may be at most.
/// @return false if there is none left.
bool spend(
    retry_allowance& allowance, const retry_bounds& bounds,
    std::size_t instances, base::steady_time now);

} // namespace mintknot::traffic

#endif
