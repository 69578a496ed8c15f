/// @file
/// Numbers in messages of the scheduling library: whole ones, to save bytes.
#ifndef MINTKNOT_SCHEDULING_MESSAGE_NUMBERS_HPP
#define MINTKNOT_SCHEDULING_MESSAGE_NUMBERS_HPP

#include <mintknot/base/json_values.hpp>

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>

namespace mintknot::scheduling {

/// Rates are sent in thousandths.
inline constexpr double rate_unit = 1000.0;

inline std::int64_t whole(double value) {
    return static_cast<std::int64_t>(std::llround(value));
}

inline double number(const nlohmann::json& value) {
    return static_cast<double>(base::number_from<std::int64_t>(value));
}

} // namespace mintknot::scheduling

#endif
