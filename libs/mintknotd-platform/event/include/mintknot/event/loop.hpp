/// @file
/// The event loop that all traffic of a process runs on.
#ifndef MINTKNOT_EVENT_LOOP_HPP
#define MINTKNOT_EVENT_LOOP_HPP

#include <mintknot/base/time.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace mintknot::event {

/// Runs handlers one after another on the thread that calls run(). Nothing
/// in this library may be called from another thread.
class loop {
public:
    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// Returns after stop(), once the current handler is done.
    void run();
    void stop();

    /// Calls the handler soon, not from within post().
    void post(std::function<void()> handler);

    base::steady_time now() const;

    /// Calls the handler whenever the process gets one of these signals.
    void on_signals(
        const std::vector<int>& numbers, std::function<void(int)> handler);

    /// Calls the handler when a timer fires later than the bound: the process
    /// stood still, had no processor, or a handler took too long. It runs
    /// before the timer's own handler, once for all timers that were due
    /// meanwhile.
    void on_delay(
        base::milliseconds bound,
        std::function<void(base::milliseconds delay)> handler);

    /// @return the longest delay of a timer that has fired within the last
    /// second; 0 if none was late.
    base::milliseconds recent_delay() const;

    struct impl;
    /// For the other classes of this library.
    impl& native() { return *impl_; }

private:
    std::unique_ptr<impl> impl_;
};

/// Calls a handler once at a time, or never if it is stopped or destroyed.
/// After a standstill of the loop, what has come on connections meanwhile is
/// handled first. Lifetime: the loop must outlive the timer.
class timer {
public:
    explicit timer(loop& owner);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Replaces what was set before. The handler may destroy the timer.
    void start(base::steady_time when, std::function<void()> handler);
    void start(base::milliseconds delay, std::function<void()> handler);
    void stop();
    bool active() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::event

#endif
