/// @file
/// The two clocks: steady time for deadlines, wall time for people.
#ifndef MINTKNOT_BASE_TIME_HPP
#define MINTKNOT_BASE_TIME_HPP

#include <chrono>

namespace mintknot::base {

using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;
using wall_time = std::chrono::time_point<
    std::chrono::system_clock, std::chrono::milliseconds>;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// @return the wall time now, in milliseconds since the epoch.
inline wall_time wall_now() {
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
}

/// @return the time left until the deadline, never negative.
inline milliseconds time_left(steady_time deadline, steady_time now) {
    if (deadline <= now)
        return milliseconds{0};
    return std::chrono::duration_cast<milliseconds>(deadline - now);
}

} // namespace mintknot::base

#endif
