/// @file
/// Delays that last, as against those that happen once.
///
/// A single long handler, or a moment without the processor, delays one timer;
/// a lost packet delays one connection. An instance that gets more work than
/// its processor or its link can do delays every one. Only what all recent
/// samples have in common counts as standing delay (as the standing queue of
/// controlled-delay queue management does).
///
/// Inputs: the delays of a timer that is set while callers connect or send, and
/// the times in which connections to servers come up. Log events: `loop_late`,
/// `loop_in_time`; metrics `loop_delay_seconds`, `standing_loop_delay_seconds`,
/// `standing_connect_delay_seconds`.
#ifndef MINTKNOT_POLICY_STANDING_DELAY_HPP
#define MINTKNOT_POLICY_STANDING_DELAY_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace mintknot::policy {

/// Which samples count.
struct delay_window {
    base::milliseconds length{0}; ///< All of this time.
    std::size_t min_samples = 1;  ///< If these are fewer, the last ones.
};

/// How late the event loop is; connections to servers come up so late because
/// of the link.
inline constexpr delay_window loop_window{base::milliseconds{60}, 3};
inline constexpr delay_window connect_window{base::milliseconds{250}, 3};

/// A measured delay.
struct delay_sample {
    base::steady_time at;
    base::microseconds delay{0};
};

/// The samples of the last second at most.
struct delay_samples {
    std::vector<delay_sample> recent;
};

/// Adds a sample; forgets those that no longer count.
void note_sample(
    delay_samples& samples, const delay_sample& latest,
    const delay_window& window);

/// @return the least delay of the samples that count; nothing if there are too
/// few.
std::optional<base::microseconds> standing_delay(
    const delay_samples& samples, const delay_window& window,
    base::steady_time now);

} // namespace mintknot::policy

#endif
