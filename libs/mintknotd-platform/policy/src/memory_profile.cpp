#include <mintknot/policy/memory_profile.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace mintknot::policy {

namespace {

using traffic::memory_profile;
using traffic::profile_step;

/// Deviations added to the expected memory. At 1.5 times the capacity, with
/// estimates off by 0.5, 0.0315 of the streams were preempted with 2, 0.0118
/// with 2.6, 0.0049 with 2.8; 0.608, 0.599 and 0.573 were within target (45
/// engines of 12 slots, trials in virtual time).
constexpr double margin_deviations = 3.0;
/// Probability that a stream beyond its expected longest output goes on for
/// another step.
constexpr double overrun_probability = 0.5;
/// The end of a stream is reported within 60 ms, so that those on an engine are
/// known to run although their profile, up to 0.5 s old, expects some to have
/// ended. If it expects less than this share to run, reports are late, and the
/// profile counts again. Without this, 0.064 of the streams of the load test
/// were preempted.
constexpr double min_running_share = 0.75;
/// Accuracy of the time until a stream fits.
constexpr base::milliseconds fit_resolution{20};
/// Below this probability the learned distribution says nothing.
constexpr double min_probability = 0.002;

double as_milliseconds(base::steady_time::duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

/// @return the probability that the output is above that many tokens.
double probability_beyond(const stream_memory& stream, double output) {
    if (stream.max_output > 0.0 && output >= stream.max_output)
        return 0.0;
    return probability_above(
        stream.tail, output / std::max(stream.expected, 1.0));
}

/// @return the probability that the stream runs with that output, given that it
/// runs with its present one.
double probability_running(
    const stream_memory& stream, double output, std::size_t steps) {
    const double present = stream.events * stream.tokens_per_event;
    if (steps == 0 || output <= present)
        return 1.0;
    const double now_running = probability_beyond(stream, present);
    if (now_running < min_probability)
        return std::pow(overrun_probability, static_cast<double>(steps));
    return probability_beyond(stream, output) / now_running;
}

/// Memory at one time.
struct held_memory {
    double mean = 0.0;
    double variance = 0.0;
    double highest = 0.0; ///< If no stream ends.

    /// @return the share of the memory whose streams are expected to run.
    double running() const {
        return highest > 0.0 ? std::clamp(mean / highest, 0.0, 1.0) : 0.0;
    }
};

/// The memory of the streams on an engine from now on, given that they run now.
class engine_forecast {
public:
    engine_forecast(const traffic::server_load& load, base::steady_time now)
        : constant_(std::max(0.0, load.memory_tokens - load.profile.covered)) {
        if (load.profile.start == base::steady_time{})
            return;
        profile_ = load.profile.start == now ? load.profile
                                             : resampled(load.profile, now);
        running_now_ = std::max(min_running_share, point(0).running());
    }

    /// @return what is held so many steps later, without other streams.
    held_memory at(std::size_t step) const {
        held_memory held = point(step);
        const double before = held.running();
        if (running_now_ < 1.0 && before > 0.0) {
            held.mean = std::min(held.mean / running_now_, held.highest);
            const double after = held.running();
            if (before < 1.0)
                held.variance *=
                    after * (1.0 - after) / (before * (1.0 - before));
        }
        held.mean += constant_;
        held.highest += constant_;
        return held;
    }

    /// @return the highest memory with another stream.
    memory_peak peak(const memory_profile& added) const {
        memory_peak found;
        found.held_now = at(0).mean;
        for (std::size_t i = 0; i < memory_profile::points; ++i) {
            const held_memory held = at(i);
            const double variance =
                std::max(0.0, held.variance + added.variance[i]);
            const double tokens = std::min(
                held.mean + added.mean[i] +
                    margin_deviations * std::sqrt(variance),
                held.highest + added.highest[i]);
            if (tokens > found.tokens) {
                found.tokens = tokens;
                found.in = profile_step * static_cast<std::int64_t>(i);
            }
        }
        return found;
    }

private:
    held_memory point(std::size_t step) const {
        return {
            profile_.mean[step], profile_.variance[step],
            profile_.highest[step]};
    }

    double constant_; ///< Held at all times: of streams without a profile.
    memory_profile profile_;
    double running_now_ = 1.0;
};

} // namespace

memory_profile profile_of(
    const stream_memory& stream, double covered, base::steady_time start) {
    memory_profile profile;
    profile.start = start;
    profile.covered = covered;
    const double event_ms = static_cast<double>(
        std::max(stream.event_time, base::milliseconds{1}).count());
    for (std::size_t i = 0; i < memory_profile::points; ++i) {
        const base::steady_time when =
            start + profile_step * static_cast<std::int64_t>(i);
        // The engine takes the stream over after the next point.
        if (stream.counted_at >= when + profile_step)
            continue;
        const double passed =
            std::max(0.0, as_milliseconds(when - stream.counted_at));
        const double output =
            (stream.events + passed / event_ms) * stream.tokens_per_event;
        const double held =
            std::min(traffic::max_profile_tokens, stream.prompt + output);
        const double running = probability_running(stream, output, i);
        profile.mean[i] = running * held;
        // Also beyond the maximum, as the end is known to within a step only:
        // with 0 there, eight times as many streams were preempted.
        profile.highest[i] = held;
        profile.variance[i] = running * (1.0 - running) * held * held;
    }
    return profile;
}

memory_peak forecast_peak(
    const traffic::server_load& load, const memory_profile& added,
    base::steady_time now) {
    return engine_forecast(load, now).peak(added);
}

std::optional<base::milliseconds> time_until_fit(
    const traffic::server_load& load, const memory_profile& added,
    double usable, base::steady_time now, base::milliseconds limit) {
    const auto fits_after = [&](base::milliseconds time) {
        return forecast_peak(load, added, now + time).tokens <= usable;
    };
    if (!fits_after(limit))
        return std::nullopt;
    base::milliseconds too_soon{0};
    base::milliseconds fits{0};
    while (!fits_after(fits)) {
        too_soon = fits;
        fits = std::min(fits + profile_step, limit);
    }
    while (fits - too_soon > fit_resolution) {
        const base::milliseconds middle = too_soon + (fits - too_soon) / 2;
        (fits_after(middle) ? fits : too_soon) = middle;
    }
    return fits;
}

double
expected_memory(const traffic::server_load& load, base::steady_time now) {
    return engine_forecast(load, now).at(0).mean;
}

} // namespace mintknot::policy
