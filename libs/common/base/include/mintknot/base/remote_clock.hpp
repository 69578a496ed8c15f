/// @file
/// When another host did something, by its own steady clock.
#ifndef MINTKNOT_BASE_REMOTE_CLOCK_HPP
#define MINTKNOT_BASE_REMOTE_CLOCK_HPP

#include <mintknot/base/time.hpp>

#include <optional>

namespace mintknot::base {

/// Bounds the moment at which an answer was made, never too late, from what the
/// other host's steady clock showed then: no earlier than its question was
/// sent, and as long after an earlier answer as the clock says. So an answer
/// that was held for a second, or was long on its way, is known to be as old as
/// it is, within the time of the fastest way there.
///
/// A clock that jumps ahead is noticed where it would show an answer that was
/// made after it arrived; the earlier answers are forgotten then. They are also
/// forgotten after a while, as no two clocks run at quite the same rate.
class remote_clock {
public:
    /// @param shown what the other clock showed when the answer was made.
    /// @param asked, answered when the question was sent and the answer came.
    /// @return a moment at which the answer had not been made yet, or just was.
    steady_time
    note(milliseconds shown, steady_time asked, steady_time answered);

private:
    /// What the own clock showed at least when the other one showed zero.
    struct offset {
        steady_time zero;
        steady_time noted;
    };
    /// The best of the present period and of the one before it.
    std::optional<offset> best_;
    std::optional<offset> earlier_;
};

} // namespace mintknot::base

#endif
