#include <mintknot/load/percentiles.hpp>

#include <criterion/criterion.h>

using mintknot::load::percentile;

Test(percentiles, nearest_rank) {
    cr_assert_eq(percentile({}, 0.5), 0.0);
    cr_assert_eq(percentile({3, 1, 2}, 0.5), 2.0);
    cr_assert_eq(percentile({5, 1, 4, 2, 3}, 0.99), 5.0);
    cr_assert_eq(percentile({5, 1}, 0.0), 1.0);
}
