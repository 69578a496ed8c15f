#include <mintknot/policy/output_lengths.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace mintknot::policy {

namespace {

/// Logarithm of the lowest ratio, 1/7.4, and width of an interval. What is
/// beyond counts in the first and the last interval.
constexpr double lowest_log = -2.0;
constexpr double bin_width = 0.125;
/// Decay of the counts for each stream: about the last 200 count, so that the
/// distribution follows a change within a few minutes on one of 80 instances.
constexpr double decay_factor = 0.995;
/// Most tokens that an estimate or an output counts.
constexpr double max_tokens = 16777216.0;
/// Half-life of the counts without new streams.
constexpr std::chrono::minutes half_life{10};
/// Streams for which the prior of a route or a service counts.
constexpr double prior_streams = 20.0;
/// Assumed spread of the logarithm until streams were seen: estimates were off
/// by this much in known deployments; without an estimate it is wider.
constexpr double assumed_spread = 0.5;
constexpr double assumed_spread_without_estimate = 0.8;
/// Routes that have a distribution of their own; further ones use that of the
/// service.
constexpr std::size_t max_routes = 128;
/// As in phase_demand: a stream of 70 events lasts for three seconds.
constexpr double assumed_event_ms = 40.0;
constexpr double assumed_events = 200.0;

double edge(std::size_t bin) {
    return lowest_log + bin_width * static_cast<double>(bin);
}

std::size_t bin_of(double ratio) {
    const double position = (std::log(ratio) - lowest_log) / bin_width;
    return static_cast<std::size_t>(
        std::clamp(position, 0.0, static_cast<double>(ratio_bins - 1)));
}

/// @return the logarithm of the expected output. Streams of the prior have the
/// estimate as output.
double expected_log(const output_ratios& seen, double x) {
    const double total = seen.total + prior_streams;
    const double mean_x = seen.total > 0.0 ? seen.sum_x / seen.total : x;
    const double mean_y = (seen.sum_y + prior_streams * mean_x) / total;
    const double variance = seen.sum_xx - seen.sum_x * mean_x;
    const double covariance = seen.sum_xy - seen.sum_y * mean_x;
    const double prior_variance =
        prior_streams * assumed_spread * assumed_spread;
    const double slope = std::clamp(
        (covariance + prior_variance) / (variance + prior_variance), 0.0, 1.5);
    return mean_y + slope * (x - mean_x);
}

/// @return the logarithm of a number of tokens. An infinite one, which a caller
/// may state, would make all later forecasts of the service invalid.
double log_of(double tokens) {
    return std::log(std::clamp(tokens, 1.0, max_tokens));
}

void note(output_ratios& seen, double x, double y, base::steady_time now) {
    const double ratio = std::exp(y - expected_log(seen, x));
    for (double& count : seen.counts)
        count *= decay_factor;
    for (double* sum : {&seen.sum_x, &seen.sum_y, &seen.sum_xx, &seen.sum_xy})
        *sum *= decay_factor;
    seen.total = seen.total * decay_factor + 1.0;
    seen.counts[bin_of(ratio)] += 1.0;
    seen.sum_x += x;
    seen.sum_y += y;
    seen.sum_xx += x * x;
    seen.sum_xy += x * y;
    seen.noted = now;
}

output_tail assumed_tail(double spread) {
    output_tail tail{};
    for (std::size_t i = 0; i < tail.size(); ++i)
        tail[i] = 0.5 * std::erfc(edge(i) / (spread * std::sqrt(2.0)));
    tail.front() = 1.0;
    tail.back() = 0.0;
    return tail;
}

double age_weight(const output_ratios& seen, base::steady_time now) {
    const double age = std::chrono::duration<double>(now - seen.noted) /
                       std::chrono::duration<double>(half_life);
    return std::exp2(-std::max(age, 0.0));
}

/// @return the logarithm of the expected output, between that of what was seen
/// and that of a wider group of streams.
double weighted_log(
    const output_ratios& seen, double x, double prior, base::steady_time now) {
    const double total = seen.total * age_weight(seen, now);
    const double share = total / (total + prior_streams);
    return share * expected_log(seen, x) + (1.0 - share) * prior;
}

/// @return the distribution of what was seen, with that of a wider group of
/// streams as prior.
output_tail with_prior(
    const output_ratios& seen, const output_tail& prior,
    base::steady_time now) {
    const double weight = age_weight(seen, now);
    const double total = seen.total * weight + prior_streams;
    output_tail tail{};
    double above = 0.0;
    for (std::size_t i = ratio_bins; i-- > 0;) {
        above += seen.counts[i] * weight;
        tail[i] = (above + prior_streams * prior[i]) / total;
    }
    return tail;
}

} // namespace

void note_output(
    output_lengths& lengths, const std::string& route,
    const output_estimate& expected, double actual, base::steady_time now) {
    const double x = log_of(expected.tokens);
    const double y = log_of(actual);
    note(
        expected.by_caller ? lengths.with_estimate : lengths.without_estimate,
        x, y, now);
    const std::pair key(route, expected.by_caller);
    if (lengths.routes.size() < max_routes || lengths.routes.contains(key))
        note(lengths.routes[key], x, y, now);
}

void note_pace(
    output_lengths& lengths, double events, base::milliseconds took) {
    lengths.events = lengths.events * decay_factor + events;
    lengths.total_event_ms = lengths.total_event_ms * decay_factor +
                             static_cast<double>(took.count());
}

output_forecast forecast_output(
    const output_lengths& lengths, const std::string& route,
    const output_estimate& estimate, base::steady_time now) {
    const output_ratios& service =
        estimate.by_caller ? lengths.with_estimate : lengths.without_estimate;
    const double x = log_of(estimate.tokens);
    output_forecast forecast;
    forecast.tail = with_prior(
        service,
        assumed_tail(
            estimate.by_caller ? assumed_spread
                               : assumed_spread_without_estimate),
        now);
    const double by_service = weighted_log(service, x, x, now);
    double log_expected = by_service;
    const auto found = lengths.routes.find({route, estimate.by_caller});
    if (found != lengths.routes.end()) {
        forecast.tail = with_prior(found->second, forecast.tail, now);
        log_expected = weighted_log(found->second, x, by_service, now);
    }
    forecast.expected = std::exp(log_expected);
    return forecast;
}

double probability_above(const output_tail& tail, double ratio) {
    if (ratio <= 0.0)
        return 1.0;
    const double position = (std::log(ratio) - lowest_log) / bin_width;
    if (position <= 0.0)
        return 1.0;
    if (position >= static_cast<double>(ratio_bins))
        return 0.0;
    const auto bin = static_cast<std::size_t>(position);
    const double part = position - static_cast<double>(bin);
    return tail[bin] + part * (tail[bin + 1] - tail[bin]);
}

double median_ratio(const output_tail& tail) {
    std::size_t bin = 0;
    while (bin + 1 < ratio_bins && tail[bin + 1] > 0.5)
        ++bin;
    const double in_bin = tail[bin] - tail[bin + 1];
    const double part =
        in_bin > 0.0 ? std::clamp((tail[bin] - 0.5) / in_bin, 0.0, 1.0) : 0.0;
    return std::exp(edge(bin) + part * bin_width);
}

base::milliseconds mean_event_time(const output_lengths& lengths) {
    const double mean =
        (lengths.total_event_ms + assumed_events * assumed_event_ms) /
        (lengths.events + assumed_events);
    return base::milliseconds(
        std::max<std::int64_t>(1, static_cast<std::int64_t>(mean)));
}

} // namespace mintknot::policy
