#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

/// Enough engines that some are always up, and time to compare.
soak_options
with_crashing_parts(std::uint64_t seed, std::vector<request_kind> kinds) {
    soak_options options;
    options.seed = seed;
    options.length = base::milliseconds(14000);
    options.instances = 4;
    options.data_centres = 2;
    options.decode_engines = 12;
    options.callers = 60;
    options.undisturbed = true;
    options.event_time = base::milliseconds(60);
    options.crashing_parts = std::move(kinds);
    return options;
}

} // namespace

Test(crashing_parts, unlike_requests_do_not_crash_one_engine_after_another) {
    check_soak(with_crashing_parts(1, {request_kind::stream}));
}

Test(crashing_parts, resumable_ones_do_not_crash_one_engine_after_another) {
    check_soak(with_crashing_parts(2, {request_kind::resumable}));
}

Test(crashing_parts, two_parts_at_once_are_told_apart) {
    check_soak(with_crashing_parts(
        3, {request_kind::stream, request_kind::resumable}));
}

Test(crashing_parts, engines_killed_beside_them_blame_nobody_else) {
    soak_options options = with_crashing_parts(4, {request_kind::stream});
    options.engine_kills = {
        base::milliseconds(1500), base::milliseconds(4000),
        base::milliseconds(5000), base::milliseconds(6000),
        base::milliseconds(9000)};
    check_soak(options);
}

Test(crashing_parts, instances_that_start_again_learn_of_them) {
    soak_options options = with_crashing_parts(5, {request_kind::stream});
    options.instance_kills = {
        base::milliseconds(5000), base::milliseconds(9000)};
    check_soak(options);
}

Test(crashing_parts, leaves_of_a_large_group_refuse_them) {
    soak_options options = with_crashing_parts(6, {request_kind::stream});
    options.instances = 9;
    options.max_flat_group = 4;
    check_soak(options);
}

Test(crashing_parts, beside_other_faults_nobody_else_is_turned_away) {
    soak_options options = with_crashing_parts(7, {request_kind::stream});
    options.undisturbed = false;
    check_soak(options);
}
