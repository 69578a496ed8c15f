/// @file
/// Structured logs: short sentences on standard error.
#ifndef MINTKNOT_BASE_LOG_HPP
#define MINTKNOT_BASE_LOG_HPP

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <utility>

namespace mintknot::base {

enum class log_level { debug, info, warning, error };

/// Lines below this level are dropped. Set once, at start.
void set_log_level(log_level lowest) noexcept;

/// Writes lines with the fixed prefix of one part of the program:
/// "2026-12-02T10:00:00.123 info  control: sentence [request-id]".
/// Safe from every thread; a line is written in one piece.
class logger {
public:
    explicit logger(std::string prefix)
        : prefix_(std::move(prefix)) {}

    template<class... Args>
    void debug(fmt::format_string<Args...> text, Args&&... args) const {
        write(log_level::debug, fmt::format(text, std::forward<Args>(args)...));
    }
    template<class... Args>
    void info(fmt::format_string<Args...> text, Args&&... args) const {
        write(log_level::info, fmt::format(text, std::forward<Args>(args)...));
    }
    template<class... Args>
    void warning(fmt::format_string<Args...> text, Args&&... args) const {
        write(
            log_level::warning, fmt::format(text, std::forward<Args>(args)...));
    }
    template<class... Args>
    void error(fmt::format_string<Args...> text, Args&&... args) const {
        write(log_level::error, fmt::format(text, std::forward<Args>(args)...));
    }

private:
    void write(log_level level, std::string_view sentence) const;

    std::string prefix_;
};

} // namespace mintknot::base

#endif
