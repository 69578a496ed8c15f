#include <mintknot/traffic/memory_profile.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::traffic {

namespace {

using values = std::array<double, memory_profile::points>;

/// Smallest number of tokens of a profile; below it is a rounding error of the
/// sum.
constexpr double min_covered = 0.5;
/// Share of the last point that is expected one step later.
constexpr double decay_per_step = 0.5;

double value_at(const values& points, double position) {
    constexpr std::size_t last = memory_profile::points - 1;
    if (position <= 0.0)
        return points.front();
    if (position >= static_cast<double>(last))
        return points[last] *
               std::pow(decay_per_step, position - static_cast<double>(last));
    const auto before = static_cast<std::size_t>(position);
    const double part = position - static_cast<double>(before);
    return points[before] + part * (points[before + 1] - points[before]);
}

void add_scaled(
    memory_profile& left, const memory_profile& right, double sign) {
    const base::steady_time start = std::max(left.start, right.start);
    if (left.start != start)
        left = resampled(left, start);
    const memory_profile moved =
        right.start == start ? right : resampled(right, start);
    left.covered += sign * moved.covered;
    for (std::size_t i = 0; i < memory_profile::points; ++i) {
        left.mean[i] += sign * moved.mean[i];
        left.variance[i] += sign * moved.variance[i];
        left.highest[i] += sign * moved.highest[i];
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
    memory_profile moved = profile;
    moved.start = start;
    const double shift = std::chrono::duration<double>(start - profile.start) /
                         std::chrono::duration<double>(profile_step);
    for (std::size_t i = 0; i < memory_profile::points; ++i) {
        const double position = static_cast<double>(i) + shift;
        moved.mean[i] = value_at(profile.mean, position);
        moved.variance[i] = value_at(profile.variance, position);
        moved.highest[i] = value_at(profile.highest, position);
    }
    return moved;
}

base::steady_time profile_grid(base::steady_time now) noexcept {
    return now - now.time_since_epoch() % profile_step;
}

} // namespace mintknot::traffic
