#include <mintknot/policy/engine_needs.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

Test(engine_needs, reserves_share_of_expected_output) {
    cr_assert_float_eq(memory_needed({1000.0, 400.0, 200.0}), 1120.0, 1e-9);
}

Test(engine_needs, expects_half_of_max_output_by_default) {
    cr_assert_float_eq(
        memory_needed({1000.0, 400.0, std::nullopt}), 1120.0, 1e-9);
}

Test(engine_needs, estimate_is_capped_at_max_output) {
    cr_assert_float_eq(memory_needed({1000.0, 400.0, 9000.0}), 1240.0, 1e-9);
}

Test(engine_needs, prefill_limit_is_rest_of_target) {
    cr_assert(
        prefill_time_limit(
            milliseconds{1000}, milliseconds{200}, milliseconds{60}) ==
        milliseconds{740});
    // It is late in any case: the whole target.
    cr_assert(
        prefill_time_limit(
            milliseconds{1000}, milliseconds{980}, milliseconds{60}) ==
        milliseconds{1000});
}
