/// @file
/// Plans of whole soaks.

#include "soak_run.hpp"

namespace mintknot::soak {

void plan_versions(soak_options& options) {
    constexpr base::milliseconds event_time{60};
    constexpr base::milliseconds kill_interval{3000};
    const base::milliseconds part = options.length / 4;
    options.take_ups = true;
    options.event_time = event_time;
    options.rollouts = {
        {part / 2, "v1.1"}, {2 * part, "v1.2"}, {3 * part, "v1"}};
    for (base::milliseconds at = kill_interval; at < options.length;
         at += kill_interval) {
        options.instance_kills.push_back(at);
        options.engine_kills.push_back(at + kill_interval / 2);
    }
}

} // namespace mintknot::soak
