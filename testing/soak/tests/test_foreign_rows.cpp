#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

soak_options with_foreign_rows(std::uint64_t seed) {
    soak_options options;
    options.seed = seed;
    options.foreign_rows = true;
    return options;
}

} // namespace

// A row with 1e999, or nested deeply, ended all instances and their requests.
Test(foreign_rows, no_row_of_another_writer_ends_an_instance) {
    for (const std::uint64_t seed : {1, 2, 3}) {
        soak_options options = with_foreign_rows(seed);
        options.undisturbed = true;
        check_soak(options);
    }
}

Test(foreign_rows, instances_that_start_beside_them_serve) {
    soak_options options = with_foreign_rows(4);
    options.planned_only = true;
    options.schedulers = true;
    check_soak(options);
}
