#include <mintknot/routing/line_fit.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;

Test(line_fit, learns_a_line) {
    routing::line_fit fit;
    cr_assert_eq(routing::predict(fit, 5, 12.0), 12.0);
    for (int i = 1; i <= 40; ++i)
        routing::observe(fit, i, 8.0 + 0.1 * i);
    cr_assert(std::abs(routing::predict(fit, 60, 0) - 14.0) < 0.01);
}

Test(line_fit, equal_observations_give_a_flat_line) {
    routing::line_fit fit;
    for (int i = 0; i < 5; ++i)
        routing::observe(fit, 3, 9.0);
    cr_assert(std::abs(routing::predict(fit, 100, 0) - 9.0) < 0.01);
}
