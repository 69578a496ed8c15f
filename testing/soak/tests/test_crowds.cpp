#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

soak_options with_crowds(std::uint64_t seed) {
    soak_options options;
    options.seed = seed;
    options.crowds = true;
    return options;
}

} // namespace

// Clients outside the limits filled instances until their machines ended them.
Test(crowds, instances_stay_within_their_machines) {
    soak_options options = with_crowds(95001);
    options.undisturbed = true;
    check_soak(options);
}

Test(crowds, instances_stay_within_their_machines_beside_faults) {
    check_soak(with_crowds(95002));
}

Test(crowds, instances_stay_within_their_machines_beside_planned_work) {
    soak_options options = with_crowds(95003);
    options.planned_only = true;
    check_soak(options);
}
