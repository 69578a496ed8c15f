#include <mintknot/base/json_reader.hpp>

#include <criterion/criterion.h>

#include <cstdint>
#include <limits>

using namespace mintknot::base;
using nlohmann::json;

namespace {

template<class Number> bool fits(const json& value) {
    try {
        number_from<Number>(value);
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

constexpr auto max_unsigned = std::numeric_limits<std::uint64_t>::max();
constexpr auto min_signed = std::numeric_limits<std::int64_t>::min();

} // namespace

// A negative number became a size, and a large one an undefined cast.
Test(json_values, numbers_beyond_a_type_are_malformed) {
    cr_assert(!fits<std::size_t>(-1));
    cr_assert(!fits<int>(std::int64_t{1} << 31));
    cr_assert(fits<int>(-(std::int64_t{1} << 31)));
    cr_assert(!fits<std::uint16_t>(65536));
    cr_assert(!fits<std::int64_t>(max_unsigned));
    cr_assert(fits<std::uint64_t>(max_unsigned));
    cr_assert(!fits<std::uint64_t>(1e300));
    cr_assert(!fits<std::uint64_t>(18446744073709551616.0));
    cr_assert(!fits<std::int64_t>(9223372036854775808.0));
    cr_assert(fits<std::int64_t>(-9223372036854775808.0));
    cr_assert(!fits<int>(-1e300));
    cr_assert(!fits<unsigned>(-1.0));
    cr_assert(!fits<double>("1"));
    cr_assert(!fits<int>(true));
    cr_assert(!fits<int>(nullptr));
}

Test(json_values, fractions_are_cut_off_or_malformed) {
    cr_assert(number_from<int>(2.9) == 2);
    cr_assert(number_from<int>(-2.9) == -2);
    cr_assert(number_from<unsigned>(-0.5) == 0);
    cr_assert(whole_number_from<int>(2) == 2);
    cr_assert_throw(whole_number_from<int>(2.0), json::exception);
    cr_assert_throw(whole_number_from<int>("2"), json::exception);
}

Test(json_values, times_are_bounded) {
    cr_assert(time_from(5) == milliseconds(5));
    cr_assert(time_from(-5.5) == milliseconds(-5));
    cr_assert(time_from(max_unsigned) == max_read_time);
    cr_assert(time_from(min_signed) == -max_read_time);
    cr_assert(time_from(1e300) == max_read_time);
    cr_assert_throw(time_from("5"), json::exception);
    cr_assert(non_negative_time(1e300) == max_read_time);
    cr_assert_throw(non_negative_time(-1), json::exception);
    const steady_time now = steady_clock::now();
    cr_assert(now + max_read_time > now);
}

Test(json_values, a_field_beyond_its_range_gets_the_fallback) {
    const json row = {
        {"negative", -1}, {"large", 1e300}, {"text", "1"}, {"good", 3}};
    cr_assert(field_or<std::uint64_t>(row, "negative", 7) == 7);
    cr_assert(field_or<std::int64_t>(row, "large", 7) == 7);
    cr_assert(field_or<int>(row, "text", 7) == 7);
    cr_assert(field_or<int>(row, "good", 7) == 3);
    cr_assert(field_or<bool>(row, "good", false) == false);
}
