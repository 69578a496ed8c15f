#include <mintknot/policy/phase_demand.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace mintknot::policy {

namespace {

/// Decay of the sums for each new observation: about the last hundred requests
/// count.
constexpr double decay_factor = 0.99;
/// Prefills that must have been observed before a line is fitted.
constexpr double min_prefills = 8.0;
/// Smallest share of the time of a prefill that counts as engine time: a line
/// through few points may come out flat.
constexpr double min_slope_share = 0.5;
/// Weight of a prefill that took longer than the line predicts. Other prompts
/// may have reached the engine while it was running, and their time is already
/// counted as their own. Plain least squares estimated the cost of a prompt of
/// 94 ms at 141 to 157 ms, so that 18 of 60 engines ran the prefill phase where
/// 13 were needed.
constexpr double slow_prefill_weight = 0.15;
constexpr double milliseconds_per_second = 1000.0;
/// Assumed demand of a service until requests of it were observed: 500 output
/// tokens at 6 ms each, a prompt of 3,000 tokens read at 20 tokens per
/// millisecond, and a few steps of a decode engine, as in three known
/// deployments. Each default counts as much as assumed_requests observations.
constexpr double assumed_hold_ms = 3000.0;
constexpr double assumed_first_event_ms = 150.0;
constexpr double assumed_hand_over_ms = 60.0;
constexpr double assumed_requests = 3.0;

/// Regression line of prefill time over prompt length.
struct prefill_line {
    double mean_tokens = 0.0;
    double mean_time = 0.0; ///< In ms.
    double slope = 0.0;     ///< In ms per token.
};

/// Precondition: demand.prefills > 0.
prefill_line fit_line(const phase_demand& demand) {
    prefill_line line;
    line.mean_tokens = demand.prefill_tokens / demand.prefills;
    line.mean_time = demand.total_prefill_ms / demand.prefills;
    const double variance = demand.tokens_squared / demand.prefills -
                            line.mean_tokens * line.mean_tokens;
    const double covariance = demand.tokens_times_time / demand.prefills -
                              line.mean_tokens * line.mean_time;
    line.slope = variance > 1.0 ? covariance / variance : 0.0;
    return line;
}

/// @return how long a prefill is expected to take, in ms; the maximum until
/// enough were observed.
double expected_prefill_ms(const phase_demand& demand, double tokens) {
    if (demand.prefills < min_prefills)
        return std::numeric_limits<double>::max();
    const prefill_line line = fit_line(demand);
    return line.mean_time + line.slope * (tokens - line.mean_tokens);
}

base::milliseconds mean_with_assumed(double sum, double count, double assumed) {
    const double mean =
        (sum + assumed * assumed_requests) / (count + assumed_requests);
    return base::milliseconds(static_cast<std::int64_t>(mean));
}

} // namespace

void add(phase_demand& sum, const phase_demand& other) {
    sum.requests += other.requests;
    sum.decode_seconds += other.decode_seconds;
    sum.total_hold_ms += other.total_hold_ms;
    sum.first_events += other.first_events;
    sum.total_first_event_ms += other.total_first_event_ms;
    sum.hand_overs += other.hand_overs;
    sum.total_hand_over_ms += other.total_hand_over_ms;
    sum.prefills += other.prefills;
    sum.prefill_tokens += other.prefill_tokens;
    sum.total_prefill_ms += other.total_prefill_ms;
    sum.tokens_squared += other.tokens_squared;
    sum.tokens_times_time += other.tokens_times_time;
}

void note_uncontended_prefill(
    phase_demand& demand, double tokens, base::milliseconds took) {
    const auto time = static_cast<double>(took.count());
    const double weight =
        time > expected_prefill_ms(demand, tokens) ? slow_prefill_weight : 1.0;
    demand.prefills = demand.prefills * decay_factor + weight;
    demand.prefill_tokens =
        demand.prefill_tokens * decay_factor + tokens * weight;
    demand.total_prefill_ms =
        demand.total_prefill_ms * decay_factor + time * weight;
    demand.tokens_squared =
        demand.tokens_squared * decay_factor + tokens * tokens * weight;
    demand.tokens_times_time =
        demand.tokens_times_time * decay_factor + tokens * time * weight;
}

void note_decode(
    phase_demand& demand, double memory_share, base::milliseconds took) {
    demand.requests = demand.requests * decay_factor + 1.0;
    demand.local_requests += 1.0;
    demand.decode_seconds =
        demand.decode_seconds * decay_factor +
        memory_share * std::chrono::duration<double>(took).count();
    demand.total_hold_ms =
        demand.total_hold_ms * decay_factor + static_cast<double>(took.count());
}

void note_first_event(phase_demand& demand, base::milliseconds took) {
    demand.first_events = demand.first_events * decay_factor + 1.0;
    demand.total_first_event_ms = demand.total_first_event_ms * decay_factor +
                                  static_cast<double>(took.count());
}

void note_hand_over(phase_demand& demand, base::milliseconds took) {
    demand.hand_overs = demand.hand_overs * decay_factor + 1.0;
    demand.total_hand_over_ms = demand.total_hand_over_ms * decay_factor +
                                static_cast<double>(took.count());
}

base::milliseconds mean_hand_over_time(const phase_demand& demand) {
    return mean_with_assumed(
        demand.total_hand_over_ms, demand.hand_overs, assumed_hand_over_ms);
}

base::milliseconds mean_hold_time(const phase_demand& demand) {
    return mean_with_assumed(
        demand.total_hold_ms, demand.requests, assumed_hold_ms);
}

base::milliseconds mean_first_event_time(const phase_demand& demand) {
    return mean_with_assumed(
        demand.total_first_event_ms, demand.first_events,
        assumed_first_event_ms);
}

double mean_prefill_seconds(const phase_demand& demand) {
    if (demand.prefills < min_prefills)
        return 0.0;
    const prefill_line line = fit_line(demand);
    return std::clamp(
               line.slope * line.mean_tokens, min_slope_share * line.mean_time,
               line.mean_time) /
           milliseconds_per_second;
}

} // namespace mintknot::policy
