#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

soak_options restored_at(std::vector<base::milliseconds> times) {
    soak_options options;
    options.undisturbed = true;
    options.length = base::milliseconds(9000);
    options.plain_servers = 4;
    options.decode_engines = 4;
    options.restores = std::move(times);
    return options;
}

} // namespace

Test(store_restores, changes_of_a_new_era_are_in_force) {
    check_soak(restored_at({base::milliseconds(1000)}));
    check_soak(restored_at({base::milliseconds(4000)}));
}

Test(store_restores, changes_of_the_last_of_three_eras_are_in_force) {
    check_soak(restored_at(
        {base::milliseconds(3000), base::milliseconds(4000),
         base::milliseconds(5000)}));
}

Test(store_restores, a_restored_row_brings_no_leaving_server_back) {
    soak_options options = restored_at({base::milliseconds(4000)});
    options.planned_only = true;
    for (options.seed = 1; options.seed <= 3; ++options.seed)
        check_soak(options);
}
