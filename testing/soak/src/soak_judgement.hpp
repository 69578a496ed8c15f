/// @file
/// What a soak has shown, by all checks.
#ifndef MINTKNOT_SOAK_SOAK_JUDGEMENT_HPP
#define MINTKNOT_SOAK_SOAK_JUDGEMENT_HPP

#include "soak_run.hpp"
#include "version_checks.hpp"

#include <vector>

namespace mintknot::soak {

/// What callers and servers have seen in a soak, and what was done to it.
struct soak_observations {
    const std::vector<caller_record>& records;
    server_notes notes;
    const std::vector<disturbance>& disturbances;
    const std::vector<past_cut>& cuts;
    const std::vector<engine_life>& engine_lives;
    base::steady_time load_began;
};

/// Adds all broken promises, and what was compared, to the result.
void add_judgement(
    soak_result& result, const soak_options& options,
    const soak_observations& seen);

} // namespace mintknot::soak

#endif
