/// @file
/// How many repeated sends an instance may make for a service.
#ifndef MINTKNOT_TRAFFIC_RETRY_ALLOWANCE_HPP
#define MINTKNOT_TRAFFIC_RETRY_ALLOWANCE_HPP

#include <mintknot/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace mintknot::traffic {

/// The bound that all instances together must keep: within any window, at
/// most `ratio` repeats for each request, and `extra` on top.
struct retry_bounds {
    double ratio = 0.2;
    double extra = 20.0;
    base::milliseconds window{10000};

    bool operator==(const retry_bounds&) const = default;
};

/// Requests and repeats of one service within the last window.
struct retry_usage {
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
};

/// Usage by service.
using usage_map = std::unordered_map<std::string, retry_usage>;

/// What peers have used, and how fresh that is.
struct fleet_usage {
    retry_usage peers;
    std::size_t heard = 0; ///< Peers that it is the sum of.
};

/// Counts over a sliding window, in steps.
struct usage_window {
    static constexpr std::size_t steps = 10;
    std::array<retry_usage, steps> counts{};
    std::int64_t newest_step = 0;
};

/// One instance's part of the bound. It needs no coordination: an instance
/// may always spend what its own requests earn and an equal part of the
/// extra. What peers leave unused may be spent on top while they are heard.
struct retry_allowance {
    double earned = 0.0; ///< From requests.
    double shared = 0.0; ///< From the part of the extra.
    base::steady_time refilled{};
    bool started = false;
    usage_window used;
};

/// Adds one request of the service.
void earn(
    retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now);

/// Takes one repeat. @param instances how many there may be at most.
/// @return false if there is none left.
bool spend(
    retry_allowance& allowance, const retry_bounds& bounds,
    std::size_t instances, const fleet_usage& fleet, base::steady_time now);

/// @return what was used within the last window.
retry_usage usage(
    const retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now);

} // namespace mintknot::traffic

#endif
