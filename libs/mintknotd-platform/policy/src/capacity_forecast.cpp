#include <mintknot/policy/capacity_forecast.hpp>

#include <algorithm>
#include <cstdint>

namespace mintknot::policy {

namespace {

/// Bound of a forecast in milliseconds, a week: a request of absurd size must
/// not lead to a time that no integer holds.
constexpr double longest_wait = 604800000.0;

base::milliseconds time_for(double tokens, double rate) {
    const double wait = tokens / rate;
    return base::milliseconds(
        static_cast<std::int64_t>(wait < longest_wait ? wait : longest_wait));
}

/// @return the wait at one engine; nothing if it can never take the request.
std::optional<base::milliseconds>
wait_at(const engine_memory& engine, double needed, double rate) {
    const double missing = needed - engine.free;
    if (missing <= 0.0)
        return engine.usable_in;
    if (missing > engine.held || rate <= 0.0)
        return std::nullopt;
    return std::max(engine.usable_in, time_for(missing, rate));
}

} // namespace

capacity_forecast forecast_capacity(
    const std::vector<engine_memory>& engines, double needed,
    base::milliseconds mean_hold_time) {
    const auto hold = static_cast<double>(
        std::max(mean_hold_time, base::milliseconds{1}).count());
    capacity_forecast forecast;
    for (const engine_memory& engine : engines) {
        const double rate = engine.held / hold;
        forecast.release_rate += rate;
        const auto wait = wait_at(engine, needed, rate);
        if (wait && (!forecast.wait || *wait < *forecast.wait))
            forecast.wait = wait;
    }
    return forecast;
}

capacity_forecast
merge_forecasts(const capacity_forecast& left, const capacity_forecast& right) {
    capacity_forecast both = left;
    both.release_rate += right.release_rate;
    if (right.wait && (!both.wait || *right.wait < *both.wait))
        both.wait = right.wait;
    return both;
}

std::optional<base::milliseconds>
wait_behind(const capacity_forecast& forecast, double tokens_ahead) {
    if (!forecast.wait || tokens_ahead <= 0.0)
        return forecast.wait;
    if (forecast.release_rate <= 0.0)
        return std::nullopt;
    return *forecast.wait + time_for(tokens_ahead, forecast.release_rate);
}

} // namespace mintknot::policy
