#include <mintknot/base/log.hpp>

#include <mintknot/base/time.hpp>

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <cstdio>

namespace mintknot::base {

namespace {

std::atomic<log_level> lowest_level{log_level::info};

constexpr std::array<std::string_view, 4> level_names{
    "debug", "info ", "warn ", "error"};

} // namespace

void set_log_level(log_level lowest) noexcept {
    lowest_level = lowest;
}

void logger::write(log_level level, std::string_view sentence) const {
    if (level < lowest_level)
        return;
    const wall_time now = wall_now();
    const auto millis = now.time_since_epoch().count() % 1000;
    const std::string line = fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03} {} {}: {}\n",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
        level_names.at(static_cast<std::size_t>(level)), prefix_, sentence);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace mintknot::base
