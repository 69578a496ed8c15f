#include <mintknot/policy/engine_needs.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

Test(engine_needs, a_part_of_the_expected_output_is_reserved) {
    cr_assert_float_eq(memory_needed({1000.0, 400.0, 200.0}), 1120.0, 1e-9);
}

Test(engine_needs, half_of_the_largest_output_is_expected_by_default) {
    cr_assert_float_eq(
        memory_needed({1000.0, 400.0, std::nullopt}), 1120.0, 1e-9);
}

Test(engine_needs, a_guess_beyond_the_largest_output_does_not_count) {
    cr_assert_float_eq(memory_needed({1000.0, 400.0, 9000.0}), 1240.0, 1e-9);
}

Test(engine_needs, a_prefill_may_take_what_is_left_of_the_target) {
    cr_assert(
        prefill_time_limit(
            milliseconds{1000}, milliseconds{200}, milliseconds{60}) ==
        milliseconds{740});
    // Late in any case: the whole target.
    cr_assert(
        prefill_time_limit(
            milliseconds{1000}, milliseconds{980}, milliseconds{60}) ==
        milliseconds{1000});
}
