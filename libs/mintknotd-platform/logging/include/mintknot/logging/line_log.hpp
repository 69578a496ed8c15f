/// @file
/// Structured log lines: one JSON object for each decision.
#ifndef MINTKNOT_LOGGING_LINE_LOG_HPP
#define MINTKNOT_LOGGING_LINE_LOG_HPP

#include <mintknot/base/time.hpp>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mintknot::logging {

/// A field of a line.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Bounds of the volume. Lines beyond them are left out and counted; the count
/// is told in the next line that is written.
struct log_bounds {
    double lines_per_second = 150.0;
    double burst = 600.0;
};

/// Writes lines to a descriptor. A line that the reader has no room for is
/// left out as well: a log never holds up traffic.
///
/// @code
/// log.write("refused", {{"request", id}, {"reason", "no_capacity"}});
/// @endcode
class line_log {
public:
    /// @param instance names the process in every line.
    line_log(int descriptor, std::string instance, log_bounds bounds);
    ~line_log();
    line_log(const line_log&) = delete;
    line_log& operator=(const line_log&) = delete;

    void write(std::string_view event, std::initializer_list<log_field> fields);

    /// The same for fields that are collected at run time.
    void
    write_fields(std::string_view event, const std::vector<log_field>& fields);

    std::uint64_t left_out() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::logging

#endif
