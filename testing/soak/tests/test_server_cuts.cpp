#include "check_soak.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;
using standins::link_mode;

namespace {

constexpr std::size_t servers = 7;
constexpr base::milliseconds cut_begin{1000};
constexpr base::milliseconds cut_end{7000};

/// Four instances in two data centres, of which some lose all servers.
soak_options cut_from_all(std::set<std::size_t> instances, link_mode mode) {
    server_cut cut;
    cut.instances = std::move(instances);
    for (std::size_t i = 0; i < servers; ++i)
        cut.servers.insert(i);
    cut.fault.mode = mode;
    cut.from = cut_begin;
    cut.until = cut_end;
    soak_options options;
    options.instances = 4;
    options.data_centres = 2;
    options.undisturbed = true;
    options.cuts = {cut};
    return options;
}

} // namespace

Test(server_cuts, callers_are_served_while_connections_to_servers_hang) {
    check_soak(cut_from_all({0}, link_mode::partition));
}

Test(server_cuts, callers_are_served_while_connections_are_reset) {
    check_soak(cut_from_all({0}, link_mode::reset_refuse));
}

Test(server_cuts, callers_are_served_while_only_new_connections_are_refused) {
    check_soak(cut_from_all({0}, link_mode::refuse_new));
}

Test(server_cuts, callers_are_served_while_a_data_centre_is_cut) {
    check_soak(cut_from_all({0, 2}, link_mode::partition));
}

Test(server_cuts, promises_hold_beside_other_faults) {
    soak_options options;
    options.seed = 9106;
    options.instances = 5;
    options.data_centres = 3;
    options.schedulers = true;
    options.random_cuts = true;
    check_soak(options);
}

Test(server_cuts, callers_are_served_while_one_instance_reaches_servers) {
    check_soak(cut_from_all({0, 1, 2}, link_mode::partition));
}
