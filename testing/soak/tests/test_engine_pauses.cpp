#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

/// Planned work only, beside engines that pause and go on.
soak_options pausing_engines(std::uint64_t seed) {
    soak_options options;
    options.seed = seed;
    options.length = base::milliseconds(14000);
    options.instances = 5;
    options.data_centres = 2;
    options.decode_engines = 4;
    options.callers = 40;
    options.planned_only = true;
    plan_pauses(options);
    return options;
}

} // namespace

// Guards against answers that are cut as their engine was left in a pause.
Test(engine_pauses, no_stream_is_cut_while_versions_are_rolled_out) {
    check_soak(pausing_engines(7601));
}

// Guards against the same where another instance places the streams.
Test(engine_pauses, no_stream_is_cut_where_schedulers_place_it) {
    soak_options options = pausing_engines(7602);
    options.schedulers = true;
    check_soak(options);
}
