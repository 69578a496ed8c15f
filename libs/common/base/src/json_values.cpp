#include <mintknot/base/json_values.hpp>

#include <algorithm>

namespace mintknot::base {

namespace {

using nlohmann::json;

/// The ID that the JSON library gives its own errors of this kind.
constexpr int error_number = 501;

} // namespace

void throw_malformed(const char* what, const json& value) {
    throw json::other_error::create(error_number, what, &value);
}

milliseconds bounded_time(double count) {
    const auto max = static_cast<double>(max_read_time.count());
    return milliseconds(
        static_cast<std::int64_t>(std::clamp(count, -max, max)));
}

milliseconds time_from(const json& value) {
    return bounded_time(number_from<double>(value));
}

milliseconds non_negative_time(const json& value) {
    const milliseconds time = time_from(value);
    if (time < milliseconds{0})
        throw_malformed("negative time", value);
    return time;
}

const json& bounded_rows(const json& rows, std::size_t max) {
    if (!rows.is_array() || rows.size() > max)
        throw_malformed("too many entries", rows);
    return rows;
}

} // namespace mintknot::base
