#include <mintknot/traffic/retry_allowance.hpp>

#include <algorithm>

namespace mintknot::traffic {

namespace {

/// Part of the extra that is given out as own parts, the rest is a margin.
constexpr double used_share = 0.9;
/// Half of an instance's part may be saved up, half comes within a window: in
/// no window can more than the whole part be spent.
constexpr double saved_share = 0.5;
/// Most earned repeats that are kept.
constexpr double most_earned = 4.0;
/// Share of the whole bound up to which an instance spends beyond its part.
constexpr double common_share = 0.5;
/// Share of the whole bound above which not even the own part is spent.
constexpr double stop_share = 0.75;

void refill(
    retry_allowance& allowance, const retry_bounds& bounds, double part,
    base::steady_time now) {
    const double most = part * saved_share;
    if (!allowance.started) {
        allowance.started = true;
        allowance.shared = most;
    } else {
        const double passed =
            std::chrono::duration<double>(now - allowance.refilled) /
            std::chrono::duration<double>(bounds.window);
        allowance.shared += part * (1.0 - saved_share) * passed;
    }
    allowance.shared = std::min(allowance.shared, most);
    allowance.refilled = now;
}

std::int64_t step_of(const retry_bounds& bounds, base::steady_time now) {
    const auto step = std::max<std::int64_t>(
        1,
        bounds.window.count() / static_cast<std::int64_t>(usage_window::steps));
    return std::chrono::duration_cast<base::milliseconds>(
               now.time_since_epoch())
               .count() /
           step;
}

/// @return the counts of the step that `now` falls in.
retry_usage& current(
    usage_window& window, const retry_bounds& bounds, base::steady_time now) {
    const std::int64_t step = step_of(bounds, now);
    const auto size = static_cast<std::int64_t>(usage_window::steps);
    for (std::int64_t fresh = std::max(window.newest_step + 1, step - size + 1);
         fresh <= step; ++fresh)
        window.counts[static_cast<std::size_t>(fresh % size)] = {};
    window.newest_step = std::max(window.newest_step, step);
    return window.counts[static_cast<std::size_t>(step % size)];
}

bool take_own_part(retry_allowance& allowance) {
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

} // namespace

void earn(
    retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now) {
    allowance.earned = std::min(most_earned, allowance.earned + bounds.ratio);
    ++current(allowance.used, bounds, now).requests;
}

bool spend(
    retry_allowance& allowance, const retry_bounds& bounds,
    std::size_t instances, const fleet_usage& fleet, base::steady_time now) {
    const double part =
        bounds.extra * used_share /
        static_cast<double>(std::max<std::size_t>(instances, 1));
    refill(allowance, bounds, part, now);
    const retry_usage mine = usage(allowance, bounds, now);
    const auto repeats =
        static_cast<double>(mine.repeats + fleet.peers.repeats);
    const double whole =
        bounds.extra + bounds.ratio * static_cast<double>(
                                          mine.requests + fleet.peers.requests);
    if (fleet.heard > 0 && repeats >= whole * stop_share)
        return false;
    const bool common_left = fleet.heard > 0 && repeats < whole * common_share;
    if (!take_own_part(allowance) && !common_left)
        return false;
    ++current(allowance.used, bounds, now).repeats;
    return true;
}

retry_usage usage(
    const retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now) {
    usage_window window = allowance.used;
    current(window, bounds, now);
    retry_usage sum;
    for (const retry_usage& step : window.counts) {
        sum.requests += step.requests;
        sum.repeats += step.repeats;
    }
    return sum;
}

} // namespace mintknot::traffic
