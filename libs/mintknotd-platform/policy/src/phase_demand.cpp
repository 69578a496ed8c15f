#include <mintknot/policy/phase_demand.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace mintknot::policy {

namespace {

/// Weight of what was known before, for each new observation: the last hundred
/// requests count.
constexpr double memory = 0.99;
/// Reads without a queue from which on a line is fitted.
constexpr double min_reads = 8.0;
/// Least part of a read's time that keeps the engine busy: a line through few
/// points may come out flat.
constexpr double min_slope_share = 0.5;
/// Weight of a read that took longer than the line says: others may have come
/// to the engine while it was under way, and what they take is counted as their
/// own. Plain least squares put the cost of a prompt of 94 ms at 141 to 157 ms,
/// so that 18 of 60 engines read where 13 were wanted.
constexpr double slow_read_weight = 0.15;
constexpr double milliseconds_per_second = 1000.0;
/// What is assumed of a service until requests of it were seen: 500 tokens out
/// at 6 ms each, a prompt of 3,000 tokens read at 20 a millisecond, and some
/// steps of a decode engine. Each counts for as much as this many requests.
/// Figures of the three deployments that were known.
constexpr double assumed_hold_ms = 3000.0;
constexpr double assumed_start_ms = 150.0;
constexpr double assumed_hand_over_ms = 60.0;
constexpr double assumed_requests = 3.0;

/// The line through prompt length and time to read it.
struct read_line {
    double mean_tokens = 0.0;
    double mean_time = 0.0; ///< In ms.
    double slope = 0.0;     ///< In ms a token.
};

/// Precondition: there have been reads.
read_line line_of(const phase_demand& demand) {
    read_line line;
    line.mean_tokens = demand.tokens / demand.reads;
    line.mean_time = demand.time / demand.reads;
    const double spread = demand.tokens_squared / demand.reads -
                          line.mean_tokens * line.mean_tokens;
    const double together = demand.tokens_times_time / demand.reads -
                            line.mean_tokens * line.mean_time;
    line.slope = spread > 1.0 ? together / spread : 0.0;
    return line;
}

/// @return how long a read is expected to take, in ms; any time until some
/// were seen.
double expected_time(const phase_demand& demand, double tokens) {
    if (demand.reads < min_reads)
        return std::numeric_limits<double>::max();
    const read_line line = line_of(demand);
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
    sum.hold_time += other.hold_time;
    sum.starts += other.starts;
    sum.start_time += other.start_time;
    sum.hand_overs += other.hand_overs;
    sum.hand_over_time += other.hand_over_time;
    sum.reads += other.reads;
    sum.tokens += other.tokens;
    sum.time += other.time;
    sum.tokens_squared += other.tokens_squared;
    sum.tokens_times_time += other.tokens_times_time;
}

void note_read_alone(
    phase_demand& demand, double tokens, base::milliseconds took) {
    const auto time = static_cast<double>(took.count());
    const double weight =
        time > expected_time(demand, tokens) ? slow_read_weight : 1.0;
    demand.reads = demand.reads * memory + weight;
    demand.tokens = demand.tokens * memory + tokens * weight;
    demand.time = demand.time * memory + time * weight;
    demand.tokens_squared =
        demand.tokens_squared * memory + tokens * tokens * weight;
    demand.tokens_times_time =
        demand.tokens_times_time * memory + tokens * time * weight;
}

void note_decode(
    phase_demand& demand, double memory_share, base::milliseconds took) {
    demand.requests = demand.requests * memory + 1.0;
    demand.seen_here += 1.0;
    demand.decode_seconds =
        demand.decode_seconds * memory +
        memory_share * std::chrono::duration<double>(took).count();
    demand.hold_time =
        demand.hold_time * memory + static_cast<double>(took.count());
}

void note_start(phase_demand& demand, base::milliseconds took) {
    demand.starts = demand.starts * memory + 1.0;
    demand.start_time =
        demand.start_time * memory + static_cast<double>(took.count());
}

void note_hand_over(phase_demand& demand, base::milliseconds took) {
    demand.hand_overs = demand.hand_overs * memory + 1.0;
    demand.hand_over_time =
        demand.hand_over_time * memory + static_cast<double>(took.count());
}

base::milliseconds mean_hand_over(const phase_demand& demand) {
    return mean_with_assumed(
        demand.hand_over_time, demand.hand_overs, assumed_hand_over_ms);
}

base::milliseconds mean_hold(const phase_demand& demand) {
    return mean_with_assumed(
        demand.hold_time, demand.requests, assumed_hold_ms);
}

base::milliseconds mean_start(const phase_demand& demand) {
    return mean_with_assumed(
        demand.start_time, demand.starts, assumed_start_ms);
}

double prefill_seconds(const phase_demand& demand) {
    if (demand.reads < min_reads)
        return 0.0;
    const read_line line = line_of(demand);
    return std::clamp(
               line.slope * line.mean_tokens, min_slope_share * line.mean_time,
               line.mean_time) /
           milliseconds_per_second;
}

} // namespace mintknot::policy
