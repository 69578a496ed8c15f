/// @file
/// What must hold after a crowd.
#ifndef MINTKNOT_CROWDS_CHECK_TRIAL_HPP
#define MINTKNOT_CROWDS_CHECK_TRIAL_HPP

#include "crowd_trial.hpp"

namespace mintknot::crowds {

/// What the machine of the process has.
struct trial_bounds {
    std::size_t memory_bytes = 0;
    std::size_t descriptors = 0;
};

/// The process lives within its bounds, and ordinary callers get answers.
void check_trial(const trial_result& seen, const trial_bounds& bounds);

} // namespace mintknot::crowds

#endif
