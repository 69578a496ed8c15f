#include <mintknot/traffic/memory_profile.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace mintknot::traffic {

namespace {

using values = std::array<double, memory_profile::points>;

/// Smallest number of tokens of a profile; below it is a rounding error of the
/// sum.
constexpr double min_covered = 0.5;
/// Share of the last point that is expected one step later.
constexpr double decay_per_step = 0.5;
/// Steps beyond which nothing is left of a profile.
constexpr double max_shift = 60.0;

/// Where the points of a profile are among those of another one.
struct point_shift {
    std::int64_t whole = 0;
    double part = 0.0;        ///< In [0, 1).
    double beyond_last = 1.0; ///< Factor for a whole step after the last point.
};

values moved(const values& points, const point_shift& shift) {
    constexpr auto last = static_cast<std::int64_t>(memory_profile::points) - 1;
    values result{};
    double beyond = 0.0;
    for (std::int64_t i = 0; i <= last; ++i) {
        const std::int64_t before = i + shift.whole;
        double& value = result[static_cast<std::size_t>(i)];
        if (before < 0) {
            value = points.front();
        } else if (before < last) {
            const auto at = static_cast<std::size_t>(before);
            value = points[at] + shift.part * (points[at + 1] - points[at]);
        } else {
            // Halved exactly with each step.
            beyond = before == last || i == 0
                         ? points.back() * shift.beyond_last *
                               std::ldexp(1.0, -static_cast<int>(before - last))
                         : beyond * decay_per_step;
            value = beyond;
        }
    }
    return result;
}

void add_scaled(
    memory_profile& left, const memory_profile& right, double sign) {
    const base::steady_time start = std::max(left.start, right.start);
    if (left.start != start)
        left = resampled(left, start);
    const memory_profile aligned =
        right.start == start ? right : resampled(right, start);
    left.covered += sign * aligned.covered;
    for (std::size_t i = 0; i < memory_profile::points; ++i) {
        left.mean[i] += sign * aligned.mean[i];
        left.variance[i] += sign * aligned.variance[i];
        left.highest[i] += sign * aligned.highest[i];
    }
}

} // namespace

bool memory_profile::present() const noexcept {
    return covered > min_covered;
}

memory_profile&
operator+=(memory_profile& left, const memory_profile& right) noexcept {
    if (right.start == base::steady_time{})
        return left;
    if (left.start == base::steady_time{})
        return left = right;
    add_scaled(left, right, 1.0);
    return left;
}

memory_profile&
operator-=(memory_profile& left, const memory_profile& right) noexcept {
    if (right.start != base::steady_time{})
        add_scaled(left, right, -1.0);
    return left;
}

memory_profile
resampled(const memory_profile& profile, base::steady_time start) noexcept {
    const double steps = std::chrono::duration<double>(start - profile.start) /
                         std::chrono::duration<double>(profile_step);
    point_shift shift;
    shift.whole = static_cast<std::int64_t>(
        std::floor(std::clamp(steps, -max_shift, max_shift)));
    shift.part = std::clamp(steps - static_cast<double>(shift.whole), 0.0, 1.0);
    shift.beyond_last = std::pow(decay_per_step, shift.part);
    memory_profile result = profile;
    result.start = start;
    result.mean = moved(profile.mean, shift);
    result.variance = moved(profile.variance, shift);
    result.highest = moved(profile.highest, shift);
    return result;
}

base::steady_time profile_grid(base::steady_time now) noexcept {
    return now - now.time_since_epoch() % profile_step;
}

} // namespace mintknot::traffic
