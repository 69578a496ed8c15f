#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;
using std::chrono::seconds;

namespace {

/// Small instances: together they have room for all callers, with a connection
/// for each request, and one of them for a fifth.
soak_options small_instances(std::size_t instances) {
    soak_options options;
    options.instances = instances;
    options.undisturbed = true;
    options.processor_share = 0.1;
    options.callers = 60;
    options.length = seconds(12);
    return options;
}

} // namespace

Test(connection_skews, an_instance_that_gets_most_connections_serves_in_time) {
    soak_options options = small_instances(8);
    options.seed = 41001;
    options.skews = {{{1}, 0.95, seconds(4), seconds(11)}};
    check_soak(options);
}

Test(connection_skews, one_instance_after_another_gets_most_connections) {
    soak_options options = small_instances(8);
    options.seed = 41004;
    options.length = seconds(20);
    options.skews = {
        {{1}, 0.95, seconds(4), seconds(10)},
        {{2}, 0.95, seconds(10), seconds(16)}};
    check_soak(options);
}

Test(connection_skews, one_instance_of_each_data_centre_gets_most_connections) {
    soak_options options = small_instances(12);
    options.seed = 41005;
    options.data_centres = 2;
    options.callers = 100;
    options.skews = {{{0, 1}, 0.95, seconds(4), seconds(11)}};
    check_soak(options);
}
