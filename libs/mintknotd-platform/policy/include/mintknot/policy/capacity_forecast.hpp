/// @file
/// Forecast of when a decode engine will have enough free memory for a request.
///
/// Inputs: the memory that requests hold on each engine (loads), how long
/// engines are still avoided, and the mean time for which requests hold memory.
/// `expected_wait_ms` in `no_room` log lines is the forecast. It spares callers
/// a wait that would end in a refusal anyway.
#ifndef MINTKNOT_POLICY_CAPACITY_FORECAST_HPP
#define MINTKNOT_POLICY_CAPACITY_FORECAST_HPP

#include <mintknot/base/time.hpp>

#include <optional>
#include <vector>

namespace mintknot::policy {

/// Memory of one decode engine, in tokens.
struct engine_memory {
    double free = 0.0;               ///< Available for new requests.
    double held = 0.0;               ///< Reserved by running requests.
    base::milliseconds usable_in{0}; ///< Time until it is no longer avoided.
    /// Time until the request fits by the memory profile of the engine's
    /// streams (memory_profile.hpp); nothing: by `free` and `held`.
    std::optional<base::milliseconds> fits_in{};
};

/// The forecast for one request.
struct capacity_forecast {
    /// Time until the request fits if no other is placed before it; nothing: no
    /// engine can take it.
    std::optional<base::milliseconds> wait;
    /// Tokens that all engines together release per millisecond.
    double release_rate = 0.0;
};

/// Forecasts the wait of a request. Requests end independently of each other,
/// so in a given time an engine releases the memory that it holds, times that
/// time divided by the mean hold time. Where the profile of an engine tells
/// when the request will fit, the forecast follows it.
/// @param needed tokens of the request.
/// @param mean_hold_time mean time for which a request holds its memory.
capacity_forecast forecast_capacity(
    const std::vector<engine_memory>& engines, double needed,
    base::milliseconds mean_hold_time);

/// @return the forecast for the engines of both forecasts together.
capacity_forecast
merge_forecasts(const capacity_forecast& left, const capacity_forecast& right);

/// @return the wait of a request behind others that need so many tokens;
/// nothing if no engine can take it.
std::optional<base::milliseconds>
wait_behind(const capacity_forecast& forecast, double tokens_ahead);

} // namespace mintknot::policy

#endif
