#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot::soak;

namespace {

/// Seeds that are run in each test. One that ever failed is added here with a
/// line on its cause.
constexpr std::uint64_t fault_seeds[] = {1, 2};
constexpr std::uint64_t planned_seeds[] = {1};

} // namespace

Test(soak, promises_hold_under_faults) {
    for (const std::uint64_t seed : fault_seeds) {
        soak_options options;
        options.seed = seed;
        check_soak(options);
    }
}

Test(soak, promises_hold_under_faults_with_schedulers) {
    soak_options options;
    options.seed = 3;
    options.instances = 4;
    options.schedulers = true;
    check_soak(options);
}

Test(soak, promises_hold_under_faults_with_super_peers) {
    soak_options options;
    options.seed = 11;
    options.instances = 18; // Twelve super-peers and six leaves.
    options.schedulers = true;
    options.max_flat_group = 3;
    check_soak(options);
}

Test(soak, planned_work_cuts_nothing_off) {
    for (const std::uint64_t seed : planned_seeds) {
        soak_options options;
        options.seed = seed;
        options.planned_only = true;
        check_soak(options);
    }
}
