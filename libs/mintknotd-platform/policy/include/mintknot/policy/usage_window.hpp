/// @file
/// Sums over the sliding windows of requests and repeats.
#ifndef MINTKNOT_POLICY_USAGE_WINDOW_HPP
#define MINTKNOT_POLICY_USAGE_WINDOW_HPP

#include <mintknot/policy/retry_allowance.hpp>

namespace mintknot::policy {

/// What a window holds, from both sides of its oldest step.
struct window_sums {
    retry_usage complete_steps; ///< Without the step that the window began in.
    retry_usage all_steps;      ///< With it.
};

/// @return the counts of the step that `now` falls in; older steps that have
/// left the window are cleared.
retry_usage& current_counts(
    usage_window& window, const retry_bounds& bounds, base::steady_time now);

/// @return the sums of the window that ends now.
window_sums sums(
    const usage_window& window, const retry_bounds& bounds,
    base::steady_time now);

} // namespace mintknot::policy

#endif
