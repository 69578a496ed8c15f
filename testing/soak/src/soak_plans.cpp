/// @file
/// Plans of whole soaks.

#include "soak_run.hpp"

namespace mintknot::soak {

namespace {

/// They overlap and lead back to the first version.
std::vector<rollout> rollouts_over(base::milliseconds length) {
    const base::milliseconds part = length / 4;
    return {{part / 2, "v1.1"}, {2 * part, "v1.2"}, {3 * part, "v1"}};
}

} // namespace

void plan_versions(soak_options& options) {
    constexpr base::milliseconds event_time{60};
    constexpr base::milliseconds kill_interval{3000};
    options.take_ups = true;
    options.event_time = event_time;
    options.rollouts = rollouts_over(options.length);
    for (base::milliseconds at = kill_interval; at < options.length;
         at += kill_interval) {
        options.instance_kills.push_back(at);
        options.engine_kills.push_back(at + kill_interval / 2);
    }
}

void plan_pauses(soak_options& options) {
    constexpr base::milliseconds pause{1000};
    constexpr std::size_t routes_of_two_megabytes = 10000;
    options.pause = pause;
    options.unused_routes = routes_of_two_megabytes;
    options.rollouts = rollouts_over(options.length);
}

} // namespace mintknot::soak
