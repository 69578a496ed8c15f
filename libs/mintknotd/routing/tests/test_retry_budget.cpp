#include <mintknot/routing/retry_budget.hpp>

#include <criterion/criterion.h>

using namespace mintknot;

Test(retry_budget, retries_stay_a_share_of_the_requests) {
    routing::retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        routing::earn(budget, 10);
        retries += routing::spend(budget) ? 1 : 0;
    }
    cr_assert(retries >= 100 && retries <= 104, "%d", retries);
}

Test(retry_budget, a_long_quiet_time_does_not_pile_up) {
    routing::retry_budget budget;
    for (int i = 0; i < 100000; ++i)
        routing::earn(budget, 100);
    int retries = 0;
    while (routing::spend(budget))
        ++retries;
    cr_assert_eq(retries, 20);
}
