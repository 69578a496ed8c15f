/// @file
/// Measures how late the event loop is while callers use it.
#ifndef MINTKNOT_RELAY_LOOP_MONITOR_HPP
#define MINTKNOT_RELAY_LOOP_MONITOR_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/policy/loop_delay.hpp>
#include <mintknot/relay/relay_metrics.hpp>

#include <memory>

namespace mintknot::relay {

/// Sets a timer again and again, as long as callers connect or send requests,
/// and records its delay. Log events: `loop_late`, `loop_in_time`.
///
/// Used only on the event loop's thread. The arguments must outlive it.
class loop_monitor {
public:
    loop_monitor(
        event::loop& owner, logging::line_log& log, relay_metrics& metrics);
    ~loop_monitor();
    loop_monitor(const loop_monitor&) = delete;
    loop_monitor& operator=(const loop_monitor&) = delete;

    /// To be called for each connection and each request of a caller.
    void note_activity();

    /// @return the standing delay, as of the last sample.
    base::microseconds standing_delay() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
