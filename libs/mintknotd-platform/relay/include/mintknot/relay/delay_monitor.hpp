/// @file
/// Measures how late this instance is while callers use it.
#ifndef MINTKNOT_RELAY_DELAY_MONITOR_HPP
#define MINTKNOT_RELAY_DELAY_MONITOR_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/policy/load_shedding.hpp>
#include <mintknot/relay/relay_metrics.hpp>

#include <functional>
#include <memory>

namespace mintknot::relay {

/// Sets a timer again and again, as long as callers connect or send requests,
/// and records its delay; takes the times of new connections to servers. Log
/// events: `loop_late`, `loop_in_time`.
///
/// Used only on the event loop's thread. The arguments must outlive it.
class delay_monitor {
public:
    delay_monitor(
        event::loop& owner, logging::line_log& log, relay_metrics& metrics);
    ~delay_monitor();
    delay_monitor(const delay_monitor&) = delete;
    delay_monitor& operator=(const delay_monitor&) = delete;

    /// To be called for each connection and each request of a caller.
    void note_activity();
    /// To be called for each connection to a server that has come up over this
    /// instance's own way, or was given up unanswered by peers as well.
    void note_connect(base::microseconds time);

    /// Has the delays told whenever the timer fires. At most one observer.
    /// @param observer returns true if they are needed again, whether callers
    /// are active or not.
    void observe(
        std::function<bool(const policy::instance_delays& delays)> observer);

    /// @return the standing delays.
    policy::instance_delays delays() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
