/// @file
/// The two clocks: steady time for deadlines and ages, wall time for people.
#ifndef MINTKNOT_BASE_TIME_HPP
#define MINTKNOT_BASE_TIME_HPP

#include <chrono>

namespace mintknot::base {

/// Never goes back, and counts the time in which the machine is suspended:
/// leases end and knowledge grows old meanwhile.
struct steady_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<steady_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

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
