/// @file
/// Whether the event loop is late all the time, or was once.
///
/// A single long handler, or a moment without the processor, delays one timer;
/// an instance that gets more work than it can do delays every one. Only what
/// all recent samples have in common counts as standing delay (as the standing
/// queue of controlled-delay queue management does).
///
/// Inputs: the delay of a timer that is set while callers connect or send.
/// Log events: `loop_late`, `loop_in_time`; metric `loop_delay_seconds`.
#ifndef MINTKNOT_POLICY_LOOP_DELAY_HPP
#define MINTKNOT_POLICY_LOOP_DELAY_HPP

#include <mintknot/base/time.hpp>

#include <vector>

namespace mintknot::policy {

/// Time between two samples, if the loop is not late.
inline constexpr base::milliseconds delay_sample_interval{25};

/// How late a timer fired.
struct delay_sample {
    base::steady_time at; ///< When it fired.
    base::microseconds delay{0};
};

/// The delay of the event loop.
struct loop_delay {
    std::vector<delay_sample> recent;
    base::microseconds standing{0}; ///< The least of the recent samples.
};

/// Adds a sample and updates the standing delay.
void note_sample(loop_delay& delay, const delay_sample& sample);

} // namespace mintknot::policy

#endif
