/// @file
/// A line learned from observations, recent ones counting more.
#ifndef MINTKNOT_ROUTING_LINE_FIT_HPP
#define MINTKNOT_ROUTING_LINE_FIT_HPP

namespace mintknot::routing {

/// Decayed sums of a least-squares fit. Used for the time of a decode step
/// (milliseconds) over the number of running sequences.
struct line_fit {
    double weight = 0.0;
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
};

/// Adds an observation and decays the earlier ones.
void observe(line_fit& fit, double x, double y) noexcept;

/// @return the fitted value at x, never below 0; the fallback before any
/// observation. A negative slope counts as a flat line.
double predict(const line_fit& fit, double x, double fallback) noexcept;

} // namespace mintknot::routing

#endif
