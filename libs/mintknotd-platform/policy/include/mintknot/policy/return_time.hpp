/// @file
/// When a refused caller may come back: the Retry-After of a refusal.
#ifndef MINTKNOT_POLICY_RETURN_TIME_HPP
#define MINTKNOT_POLICY_RETURN_TIME_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/room_forecast.hpp>

#include <cstddef>
#include <optional>

namespace mintknot::policy {

/// Told where nothing better is known and the request has not run: in this time
/// another server has been found or an attempt has ended.
inline constexpr base::milliseconds default_return{250};

/// Told before an exchange begins (entry_check.hpp): a stop ends or memory is
/// freed within some of these.
inline constexpr base::milliseconds return_after_entry_refusal{300};

/// When the callers that one instance has refused for want of room come back.
struct return_schedule {
    base::steady_time last{}; ///< The latest time that was given out.
};

/// What a refused caller is told by.
struct return_terms {
    room_forecast forecast;
    std::optional<base::milliseconds> expected_wait;
    double tokens = 0.0;       ///< Memory that the request needs.
    std::size_t instances = 1; ///< That give out the same room.
};

/// Gives out times in the order of refusal and no faster than room is expected
/// to come, so that those refused first find room first. Switched off, of 100
/// callers who came back 1.7 to 2.0 came in vain in place of 0.5 to 1.1 (ten
/// plays or more each on three deployments).
/// @return the time after which the caller may come back.
base::milliseconds schedule_return(
    return_schedule& schedule, const return_terms& terms,
    base::steady_time now);

/// Spaces retries at the rate that the limited servers accept. The returned
/// time is bounded so that callers can still retry within their deadlines.
/// @param first time until a server accepts the next request.
/// @param rate requests per second that this instance may send.
base::milliseconds schedule_limited_return(
    return_schedule& schedule, base::milliseconds first, double rate,
    base::steady_time now);

/// @return when a caller may come back that found no server within reach: an
/// outage is expected to last as long again as it has lasted. Against a fixed
/// 250 ms a fifth fewer callers of plain services came back in vain (56 and 59
/// of 109 before, 46 and 48 after, two days with a data centre cut off).
/// @param outage since the last call to any server of the service went well.
base::milliseconds return_after_outage(base::milliseconds outage);

} // namespace mintknot::policy

#endif
