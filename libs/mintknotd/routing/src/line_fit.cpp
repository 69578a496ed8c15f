#include <mintknot/routing/line_fit.hpp>

#include <algorithm>

namespace mintknot::routing {

namespace {

constexpr double decay = 0.98;
/// Less spread than this (in squared units of x) says nothing of the slope.
constexpr double least_spread = 0.5;

} // namespace

void observe(line_fit& fit, double x, double y) noexcept {
    fit.weight = fit.weight * decay + 1.0;
    fit.sum_x = fit.sum_x * decay + x;
    fit.sum_y = fit.sum_y * decay + y;
    fit.sum_xx = fit.sum_xx * decay + x * x;
    fit.sum_xy = fit.sum_xy * decay + x * y;
}

double predict(const line_fit& fit, double x, double fallback) noexcept {
    if (fit.weight <= 0.0)
        return fallback;
    const double mean_x = fit.sum_x / fit.weight;
    const double mean_y = fit.sum_y / fit.weight;
    const double spread = fit.sum_xx / fit.weight - mean_x * mean_x;
    double slope = 0.0;
    if (spread > least_spread) {
        const double together = fit.sum_xy / fit.weight - mean_x * mean_y;
        slope = std::max(0.0, together / spread);
    }
    return std::max(0.0, mean_y + slope * (x - mean_x));
}

} // namespace mintknot::routing
