#include "soak_run.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace mintknot::soak;

namespace {

/// Seeds that are run in each test. One that ever failed is added here with a
/// line on its cause.
constexpr std::uint64_t fault_seeds[] = {1, 2};
constexpr std::uint64_t planned_seeds[] = {1};

void check(const soak_options& options) {
    const soak_result result = run_soak(options);
    for (const std::string& broken : result.broken)
        fmt::print(
            "seed {}: {} (logs: {})\n", options.seed, broken, result.logs);
    for (const std::string& fault : result.faults)
        if (!result.broken.empty())
            fmt::print("  {}\n", fault);
    cr_assert(result.broken.empty());
    cr_assert(result.answered > 0);
}

} // namespace

Test(soak, promises_hold_under_faults) {
    for (const std::uint64_t seed : fault_seeds) {
        soak_options options;
        options.seed = seed;
        check(options);
    }
}

Test(soak, promises_hold_under_faults_with_schedulers) {
    soak_options options;
    options.seed = 3;
    options.instances = 4;
    options.schedulers = true;
    check(options);
}

Test(soak, promises_hold_under_faults_with_super_peers) {
    soak_options options;
    options.seed = 11;
    options.instances = 18; // Twelve super-peers and six leaves.
    options.schedulers = true;
    options.max_flat_group = 3;
    check(options);
}

Test(soak, planned_work_cuts_nothing_off) {
    for (const std::uint64_t seed : planned_seeds) {
        soak_options options;
        options.seed = seed;
        options.planned_only = true;
        check(options);
    }
}
