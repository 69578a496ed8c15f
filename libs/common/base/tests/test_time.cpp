#include <mintknot/base/time.hpp>

#include "suspended_clock.hpp"

#include <criterion/criterion.h>

using namespace mintknot::base;

Test(steady_clock, counts_the_time_of_a_suspension) {
    const steady_time before = steady_clock::now();
    tests::suspend_for(milliseconds(20000));
    cr_assert(steady_clock::now() - before >= milliseconds(20000));
}
