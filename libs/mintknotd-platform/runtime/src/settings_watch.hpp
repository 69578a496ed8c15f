/// @file
/// Reads an instance's settings again while it runs.
#ifndef MINTKNOT_RUNTIME_SRC_SETTINGS_WATCH_HPP
#define MINTKNOT_RUNTIME_SRC_SETTINGS_WATCH_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/runtime/instance.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <string_view>

namespace mintknot::runtime {

/// Reads the settings when it is told to and, as they may change without a
/// signal, every two seconds. Settings that cannot be read leave the old ones
/// in force. Used on the loop's thread only.
class settings_watch {
public:
    /// @param source reads the settings.
    /// @param differs whether they differ from those in force.
    /// @param take puts them in force; told what the cause was.
    settings_watch(
        event::loop& loop, logging::line_log& log,
        std::function<absl::StatusOr<instance_settings>()> source,
        std::function<bool(const instance_settings&)> differs,
        std::function<void(const instance_settings&, std::string_view)> take);

    /// Looks at the settings from now on.
    void start();
    /// Reads them now, and takes them whether they differ or not.
    void read(std::string_view cause);

private:
    void look();
    void log_rejection(std::string_view cause, const absl::Status& why);

    logging::line_log& log_;
    std::function<absl::StatusOr<instance_settings>()> source_;
    std::function<bool(const instance_settings&)> differs_;
    std::function<void(const instance_settings&, std::string_view)> take_;
    event::timer timer_;
    bool rejected_ = false; ///< The last look found no settings.
};

} // namespace mintknot::runtime

#endif
