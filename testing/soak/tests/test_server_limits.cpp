#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

/// Guards against several instances together exceeding the limit of a server.
/// Servers 0 and 1 are prefill engines, 2 to 5 decode engines, 6 to 9 plain.
soak_options
limited(std::size_t instances, std::map<std::size_t, std::string> limits) {
    soak_options options;
    options.instances = instances;
    options.undisturbed = true;
    options.length = base::milliseconds(10000);
    options.decode_engines = 4;
    options.plain_servers = 4;
    options.advertised_limits = std::move(limits);
    return options;
}

void check_with_and_without_schedulers(soak_options options) {
    for (const bool schedulers : {false, true}) {
        options.schedulers = schedulers;
        check_soak(options);
    }
}

} // namespace

Test(server_limits, some_plain_servers_stay_within_their_limits) {
    check_with_and_without_schedulers(limited(2, {{7, "1.5"}, {8, "9"}}));
}

Test(server_limits, all_plain_servers_stay_within_their_limits) {
    check_with_and_without_schedulers(
        limited(6, {{6, "3"}, {7, "3"}, {8, "3"}, {9, "0.5"}}));
}

Test(server_limits, engines_of_both_phases_stay_within_their_limits) {
    check_with_and_without_schedulers(limited(
        2, {{0, "2"}, {1, "3"}, {2, "2"}, {3, "2"}, {4, "2"}, {5, "2"}}));
}
