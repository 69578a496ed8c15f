/// @file
/// When a decode engine will have room for a request.
///
/// Inputs: what requests hold on each engine (loads), for how long engines are
/// avoided, the mean time for which requests hold memory. `expected_wait_ms` in
/// `no_room` lines tells the forecast. It spares callers a wait that ends in a
/// refusal all the same.
#ifndef MINTKNOT_POLICY_ROOM_FORECAST_HPP
#define MINTKNOT_POLICY_ROOM_FORECAST_HPP

#include <mintknot/base/time.hpp>

#include <optional>
#include <vector>

namespace mintknot::policy {

/// Memory of one decode engine, in tokens.
struct engine_memory {
    double free = 0.0;               ///< Can be given out now.
    double held = 0.0;               ///< Reserved by requests that run.
    base::milliseconds usable_in{0}; ///< Until it is no longer avoided.
};

/// What is known of the room that a request waits for.
struct room_forecast {
    /// Until it fits if nobody goes before it; nothing: not to be foreseen, as
    /// no engine can take it.
    std::optional<base::milliseconds> wait;
    /// Tokens that all engines together set free in a millisecond.
    double release_rate = 0.0;
};

/// Requests end independently of each other, so that an engine sets free in a
/// time what it holds, times that time over the mean time of a request.
/// @param needed tokens of the request.
/// @param mean_hold how long a request holds its memory on average.
room_forecast forecast_room(
    const std::vector<engine_memory>& engines, double needed,
    base::milliseconds mean_hold);

/// @return the forecast over the engines of both.
room_forecast joined(const room_forecast& left, const room_forecast& right);

/// @return the wait of a request behind others that need so many tokens, or
/// nothing if it is not to be foreseen.
std::optional<base::milliseconds>
wait_behind(const room_forecast& forecast, double tokens_ahead);

} // namespace mintknot::policy

#endif
