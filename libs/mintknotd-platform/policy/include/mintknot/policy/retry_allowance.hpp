/// @file
/// How many repeated sends an instance may make for a service.
///
/// Inputs: own requests and repeats, exact; those of peers as they last told,
/// which is some 60 ms to a second ago, in very large groups several seconds.
/// Guards the bound that the users set for all instances together. Against own
/// parts alone, sharing what others leave changed worth by 0.016 at most (ten
/// plays or more each on three deployments); it matters where one instance
/// meets the trouble. Metric: `mintknot_repeats_total`; refusals that it causes
/// have the reason `retry_allowance_spent`.
#ifndef MINTKNOT_POLICY_RETRY_ALLOWANCE_HPP
#define MINTKNOT_POLICY_RETRY_ALLOWANCE_HPP

#include <mintknot/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace mintknot::policy {

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

/// What others have used within the last window, as far as they have told.
struct fleet_usage {
    retry_usage peers;     ///< Those that have gone meanwhile included.
    std::size_t heard = 0; ///< Peers that are heard at present.
};

/// Counts over a sliding window, in steps.
struct usage_window {
    static constexpr std::size_t steps = 10;
    std::array<retry_usage, steps> counts{};
    std::int64_t newest_step = 0;
};

/// One instance's part of the bound. It needs no coordination: an instance
/// may always spend what its own requests earn and an equal part of the
/// extra. What peers leave unused may be spent on top, in proportion to how
/// many of them are heard. An instance that has just started does not know
/// what its earlier life has spent: it begins with nothing saved, and leaves
/// alone what peers leave until a whole window has passed.
struct retry_allowance {
    double earned = 0.0; ///< From requests.
    double shared = 0.0; ///< From the part of the extra.
    base::steady_time refilled{};
    usage_window used;
};

/// What a decision about a repeat looks at beside the own allowance.
struct spend_terms {
    std::size_t instances = 1; ///< How many there may be at most.
    fleet_usage fleet;
    base::steady_time started{}; ///< When this instance began to count.
};

/// Adds one request of the service.
void earn(
    retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now);

/// Takes one repeat. @return false if there is none left.
bool spend(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now);

/// @return what was used within the last window.
retry_usage usage(
    const retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now);

} // namespace mintknot::policy

#endif
