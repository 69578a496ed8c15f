#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

/// Rollouts that overlap, with kills of instances and engines.
soak_options several_versions(std::uint64_t seed) {
    soak_options options;
    options.seed = seed;
    options.length = base::milliseconds(14000);
    options.instances = 5;
    options.data_centres = 2;
    options.decode_engines = 10;
    options.callers = 60;
    options.undisturbed = true;
    plan_versions(options);
    return options;
}

} // namespace

Test(stream_versions, a_stream_does_not_go_on_at_another_version) {
    check_soak(several_versions(1));
}

Test(stream_versions, a_scheduler_names_engines_of_the_streams_version) {
    soak_options options = several_versions(2);
    options.schedulers = true;
    check_soak(options);
}

Test(stream_versions, leaves_take_up_streams_at_their_version) {
    soak_options options = several_versions(3);
    options.instances = 9;
    options.max_flat_group = 4;
    check_soak(options);
}

Test(stream_versions, beside_other_faults_streams_are_not_joined) {
    soak_options options = several_versions(4);
    options.undisturbed = false;
    check_soak(options);
}

// Keeps it so that streams are not joined where all that remembered them ended.
Test(stream_versions, after_a_kill_of_all_streams_are_not_joined) {
    soak_options options = several_versions(5);
    options.instance_kills.clear();
    options.group_kills = {
        base::milliseconds(4000), base::milliseconds(7500),
        base::milliseconds(11000)};
    check_soak(options);
}
