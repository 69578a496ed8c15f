#include "stream_groups.hpp"

#include <criterion/criterion.h>

namespace mintknot::policy::tests {

stream_load_result play_seeds(stream_load_options options, unsigned seeds) {
    stream_load_result sum;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const stream_load_result seen = play_stream_load(options);
        sum.streams += seen.streams;
        sum.in_target += seen.in_target;
        sum.started += seen.started;
        sum.preempted += seen.preempted;
        sum.large += seen.large;
        sum.large_started += seen.large_started;
    }
    cr_log_info(
        "%zu instances, rule %d: in target %.3f preempted %.4f started %.3f "
        "large %.3f of %d",
        options.instances, static_cast<int>(options.rule),
        sum.in_target_share(), sum.preempted_share(), sum.started_share(),
        sum.large_started_share(), sum.streams);
    return sum;
}

stream_load_options group_of(std::size_t instances, std::size_t engines) {
    stream_load_options options;
    options.instances = instances;
    options.engines = engines;
    return options;
}

} // namespace mintknot::policy::tests
