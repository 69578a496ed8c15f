#include "settings_watch.hpp"

#include <utility>

namespace mintknot::runtime {

namespace {

/// A change without a signal is in force within this time.
constexpr base::milliseconds check_interval{2000};

} // namespace

settings_watch::settings_watch(
    event::loop& loop, logging::line_log& log,
    std::function<absl::StatusOr<instance_settings>()> source,
    std::function<bool(const instance_settings&)> differs,
    std::function<void(const instance_settings&, std::string_view)> take)
    : log_(log)
    , source_(std::move(source))
    , differs_(std::move(differs))
    , take_(std::move(take))
    , timer_(loop) {}

void settings_watch::start() {
    timer_.start(check_interval, [this] {
        check();
        start();
    });
}

void settings_watch::check() {
    const auto fresh = source_();
    if (!fresh.ok()) {
        // A file that remains unreadable is logged once.
        if (!rejected_)
            log_rejection("file", fresh.status());
        rejected_ = true;
        return;
    }
    rejected_ = false;
    if (differs_(*fresh))
        take_(*fresh, "file");
}

void settings_watch::read(std::string_view cause) {
    const auto fresh = source_();
    if (fresh.ok())
        take_(*fresh, cause);
    else
        log_rejection(cause, fresh.status());
}

void settings_watch::log_rejection(
    std::string_view cause, const absl::Status& why) {
    const std::string_view message(why.message().data(), why.message().size());
    log_.write("reload_rejected", {{"cause", cause}, {"because", message}});
}

} // namespace mintknot::runtime
