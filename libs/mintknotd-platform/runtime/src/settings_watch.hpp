/// @file
/// Reloads the settings of an instance while it runs.
#ifndef MINTKNOT_RUNTIME_SRC_SETTINGS_WATCH_HPP
#define MINTKNOT_RUNTIME_SRC_SETTINGS_WATCH_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/runtime/instance.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <string_view>

namespace mintknot::runtime {

/// Reads the settings on request and every two seconds, because they may change
/// without a signal. If they cannot be read, the old ones remain in force. Used
/// on the loop's thread only.
class settings_watch {
public:
    /// @param source reads the settings.
    /// @param differs returns true if they differ from those in force.
    /// @param take puts them in force; its second argument is the cause.
    settings_watch(
        event::loop& loop, logging::line_log& log,
        std::function<absl::StatusOr<instance_settings>()> source,
        std::function<bool(const instance_settings&)> differs,
        std::function<void(const instance_settings&, std::string_view)> take);

    /// Starts to check the settings periodically.
    void start();
    /// Reads them now and puts them in force, whether they differ or not.
    void read(std::string_view cause);

private:
    void check();
    void log_rejection(std::string_view cause, const absl::Status& why);

    logging::line_log& log_;
    std::function<absl::StatusOr<instance_settings>()> source_;
    std::function<bool(const instance_settings&)> differs_;
    std::function<void(const instance_settings&, std::string_view)> take_;
    event::timer timer_;
    bool rejected_ = false; ///< The last periodic check could not read them.
};

} // namespace mintknot::runtime

#endif
