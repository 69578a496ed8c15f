/// @file
/// Checked reading of single JSON values that another program has written. All
/// functions throw nlohmann::json::exception for values that do not fit.
#ifndef MINTKNOT_BASE_JSON_VALUES_HPP
#define MINTKNOT_BASE_JSON_VALUES_HPP

#include <mintknot/base/time.hpp>

#include <nlohmann/json.hpp>

#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>

namespace mintknot::base {

/// Longer times are read as this one, so that sums with a clock do not
/// overflow.
inline constexpr milliseconds max_read_time = std::chrono::years(100);

/// Throws nlohmann::json::exception.
[[noreturn]] void
throw_malformed(const char* what, const nlohmann::json& value);

/// @return true if the integral type holds the number without its fraction.
template<std::integral Number> bool holds(double value) {
    // The first powers of two beyond the type's range are exact as doubles.
    const double end = std::ldexp(1.0, std::numeric_limits<Number>::digits);
    const double begin = std::is_signed_v<Number> ? -end : 0.0;
    const double whole = std::trunc(value);
    return whole >= begin && whole < end;
}

/// @return the number, without its fraction where Number is integral. Throws if
/// the value is not a number or Number does not hold it: json::get() would wrap
/// it, or cast it with an undefined result.
template<class Number> Number number_from(const nlohmann::json& value) {
    if (!value.is_number())
        throw_malformed("not a number", value);
    if constexpr (std::integral<Number>) {
        const bool fits =
            value.is_number_float() ? holds<Number>(value.get<double>())
            : value.is_number_unsigned()
                ? std::in_range<Number>(value.get<std::uint64_t>())
                : std::in_range<Number>(value.get<std::int64_t>());
        if (!fits)
            throw_malformed("a number beyond its range", value);
    }
    return value.get<Number>();
}

/// @return the same, but throws for a number with a fraction or exponent too.
template<std::integral Number>
Number whole_number_from(const nlohmann::json& value) {
    if (!value.is_number_integer())
        throw_malformed("not a whole number", value);
    return number_from<Number>(value);
}

/// @return the time without fractions, at most max_read_time either way.
/// @param count in milliseconds; finite.
milliseconds bounded_time(double count);

/// @return the time of a value in milliseconds, bounded like that.
milliseconds time_from(const nlohmann::json& value);

/// @return the same; throws if it is negative.
milliseconds non_negative_time(const nlohmann::json& value);

/// @return the rows; throws if they are no array or more than `max`.
const nlohmann::json& bounded_rows(const nlohmann::json& rows, std::size_t max);

} // namespace mintknot::base

#endif
