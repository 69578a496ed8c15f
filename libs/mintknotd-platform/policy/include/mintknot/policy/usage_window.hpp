/// @file
/// Sums over sliding windows of request and retry counts.
#ifndef MINTKNOT_POLICY_USAGE_WINDOW_HPP
#define MINTKNOT_POLICY_USAGE_WINDOW_HPP

#include <mintknot/policy/retry_allowance.hpp>

namespace mintknot::policy {

/// Lower and upper bound of the counts in a window, which begins within a step.
struct window_sums {
    retry_usage
        complete_steps;    ///< Excludes the step that the window begins in.
    retry_usage all_steps; ///< Includes it.
};

/// @return the counts of the step that contains `now`. Clears steps that have
/// left the window.
retry_usage& current_counts(
    usage_window& window, const retry_bounds& bounds, base::steady_time now);

/// @return the sums over the window that ends at `now`.
window_sums sums(
    const usage_window& window, const retry_bounds& bounds,
    base::steady_time now);

} // namespace mintknot::policy

#endif
