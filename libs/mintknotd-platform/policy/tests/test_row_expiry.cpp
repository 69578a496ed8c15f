#include <mintknot/policy/row_expiry.hpp>

#include <criterion/criterion.h>

using namespace mintknot::policy;
using std::chrono::milliseconds;

Test(row_expiry, rows_have_less_time_than_the_drain_bound) {
    cr_assert(row_return_time(milliseconds{1200}) == milliseconds{800});
    cr_assert(row_return_time(milliseconds{9000}) == milliseconds{1600});
    cr_assert(row_return_time(milliseconds{100}) == removal_gather_time);
}

Test(row_expiry, a_quarter_of_all_servers_does_not_leave_at_once) {
    cr_assert(!is_mass_removal(2, 2));
    cr_assert(is_mass_removal(3, 8));
    cr_assert(!is_mass_removal(4, 20));
    cr_assert(is_mass_removal(5, 20));
}
