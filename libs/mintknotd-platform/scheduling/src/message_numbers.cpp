#include "message_numbers.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace mintknot::scheduling {

namespace {

using nlohmann::json;

constexpr std::int64_t max_cost = 1000000000000;
constexpr std::int64_t max_time_ms = 3600000;

void require_integer(const json& value) {
    if (!value.is_number_integer())
        throw json::type_error::create(302, "not an integer", &value);
}

} // namespace

std::int64_t whole(double value) {
    if (std::isnan(value))
        return 0;
    const auto most = static_cast<double>(max_cost);
    return static_cast<std::int64_t>(
        std::llround(std::clamp(value, -most, most)));
}

std::int64_t integer_from(const json& value) {
    require_integer(value);
    if (value.is_number_unsigned())
        return static_cast<std::int64_t>(std::min<std::uint64_t>(
            value.get<std::uint64_t>(),
            std::numeric_limits<std::int64_t>::max()));
    return value.get<std::int64_t>();
}

int int_from(const json& value) {
    return static_cast<int>(std::clamp<std::int64_t>(
        integer_from(value), std::numeric_limits<int>::min(),
        std::numeric_limits<int>::max()));
}

std::uint64_t unsigned_from(const json& value) {
    require_integer(value);
    return value.get<std::uint64_t>();
}

double cost_from(const json& value) {
    return static_cast<double>(
        std::clamp<std::int64_t>(integer_from(value), 0, max_cost));
}

base::milliseconds time_from(const json& value) {
    return base::milliseconds(
        std::clamp<std::int64_t>(integer_from(value), 0, max_time_ms));
}

} // namespace mintknot::scheduling
