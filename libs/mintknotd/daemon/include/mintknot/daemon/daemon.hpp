/// @file
/// One whole instance: all parts, wired together.
#ifndef MINTKNOT_DAEMON_DAEMON_HPP
#define MINTKNOT_DAEMON_DAEMON_HPP

#include <mintknot/config/settings.hpp>

#include <absl/status/status.h>

#include <functional>
#include <memory>

namespace mintknot::daemon {

/// @code
/// instance daemon(settings);
/// if (auto status = daemon.start(); !status.ok()) ...
/// wait_for_signal();
/// daemon.stop([] { return second_signal_came(); });
/// @endcode
///
/// Thread: start() and stop() from one thread.
class instance {
public:
    explicit instance(const config::settings& chosen);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Binds all addresses and starts all parts.
    absl::Status start();

    /// Leaves: not ready at once, open requests finish, then everything ends.
    /// @param hurry asked now and then; true ends the wait.
    /// @return true if no request was cut off.
    bool stop(const std::function<bool()>& hurry);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::daemon

#endif
