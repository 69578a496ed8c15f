/// @file
/// Learned distribution of the output of streams, relative to the estimate of
/// their callers.
///
/// Estimates are right in the median but often far off, and differently so on
/// each route. A regression over the logarithms corrects them: where they are
/// noisy, long ones are too long and short ones too short. Updated by the
/// exchanges of this instance at the end of each complete answer; lost with the
/// process. A route with few streams has the distribution of its service, a
/// service with few a log-normal one. Log event: `stream_ended`.
#ifndef MINTKNOT_POLICY_OUTPUT_LENGTHS_HPP
#define MINTKNOT_POLICY_OUTPUT_LENGTHS_HPP

#include <mintknot/base/time.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace mintknot::policy {

/// Intervals of the logarithm of output over expected output.
inline constexpr std::size_t ratio_bins = 32;

/// Probabilities that output over expected output is above the lower end of
/// each interval, and above the last one.
using output_tail = std::array<double, ratio_bins + 1>;

/// Decayed sums over streams: x is the logarithm of the estimate, y that of the
/// output.
struct output_ratios {
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    /// Counts of output over what the regression had expected.
    std::array<double, ratio_bins> counts{};
    double total = 0.0;
    base::steady_time noted{}; ///< When the last stream was added.
};

/// What one service's streams have shown. Streams whose callers gave no
/// estimate are counted apart from the others.
struct output_lengths {
    output_ratios with_estimate;
    output_ratios without_estimate;
    /// Keyed by route and whether there was an estimate; bounded.
    std::map<std::pair<std::string, bool>, output_ratios> routes;
    double events = 0.0;         ///< Decayed.
    double total_event_ms = 0.0; ///< Decayed time of these events.
};

/// The output that a caller announced, in tokens.
struct output_estimate {
    double tokens = 1.0;
    bool by_caller = false; ///< Otherwise derived from the maximum.
};

/// Records the output of a complete stream.
void note_output(
    output_lengths& lengths, const std::string& route,
    const output_estimate& expected, double actual, base::steady_time now);

/// Records the time between events of a complete stream.
void note_pace(output_lengths& lengths, double events, base::milliseconds took);

/// What is expected of a new stream's output.
struct output_forecast {
    double expected = 1.0; ///< The corrected estimate, in tokens.
    output_tail tail{};    ///< Of output over `expected`.
};

/// @return the forecast for a new stream of the route.
output_forecast forecast_output(
    const output_lengths& lengths, const std::string& route,
    const output_estimate& estimate, base::steady_time now);

/// @return the probability that output over expected output is above `ratio`.
double probability_above(const output_tail& tail, double ratio);

/// @return the ratio that half of the streams exceed.
double median_ratio(const output_tail& tail);

/// @return the mean time between events; a default until a few streams have
/// ended.
base::milliseconds mean_event_time(const output_lengths& lengths);

} // namespace mintknot::policy

#endif
