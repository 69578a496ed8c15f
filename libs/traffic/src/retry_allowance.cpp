#include <mintknot/traffic/retry_allowance.hpp>

#include <algorithm>

namespace mintknot::traffic {

namespace {

/// Part of the extra that is given out, the rest is a margin.
constexpr double used_share = 0.9;
/// Half of an instance's part may be saved up, half comes within a window: in
/// no window can more than the whole part be spent.
constexpr double saved_share = 0.5;
/// Earned repeats that are kept, in windows' worth of one request each.
constexpr double most_earned = 4.0;

void refill(
    retry_allowance& allowance, const retry_bounds& bounds, double part,
    base::steady_time now) {
    const double most = part * saved_share;
    if (!allowance.started) {
        allowance.started = true;
        allowance.shared = most;
    } else {
        const double passed = std::chrono::duration<double>(
                                  now - allowance.refilled) /
                              std::chrono::duration<double>(bounds.window);
        allowance.shared += part * (1.0 - saved_share) * passed;
    }
    allowance.shared = std::min(allowance.shared, most);
    allowance.refilled = now;
}

} // namespace

void earn(retry_allowance& allowance, const retry_bounds& bounds) {
    allowance.earned = std::min(most_earned, allowance.earned + bounds.ratio);
}

bool spend(
    retry_allowance& allowance, const retry_bounds& bounds,
    std::size_t instances, base::steady_time now) {
    const double part = bounds.extra * used_share /
                        static_cast<double>(std::max<std::size_t>(instances, 1));
    refill(allowance, bounds, part, now);
    if (allowance.earned >= 1.0) {
        allowance.earned -= 1.0;
        return true;
    }
    if (allowance.earned + allowance.shared < 1.0)
        return false;
    allowance.shared -= 1.0 - allowance.earned;
    allowance.earned = 0.0;
    return true;
}

} // namespace mintknot::traffic
