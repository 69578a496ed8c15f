/// @file
/// Crowds against an instance of mintknotd-platform.
#ifndef MINTKNOT_CROWDS_PLATFORM_TRIAL_HPP
#define MINTKNOT_CROWDS_PLATFORM_TRIAL_HPP

#include "crowd_trial.hpp"

#include <optional>

namespace mintknot::crowds {

/// Whom a crowd sends to.
enum class platform_target {
    callers,   ///< The address that callers use.
    readiness, ///< Where balancers ask whether the instance is ready.
    peers      ///< Where other instances call.
};

/// What the machine of the instance has, as its settings file says.
struct machine_limits {
    std::size_t memory_mb = 64;
    std::size_t max_descriptors = 900;
};

/// Plays the crowd against a system of its own: a store, servers and one
/// instance. @return nullopt if the system did not start.
std::optional<trial_result> run_platform_trial(
    const crowd_plan& plan, const machine_limits& limits,
    platform_target target);

/// Sends requests one after another, each as soon as the one before has been
/// answered, to a system of its own that nobody else uses.
/// @param requests as bytes; each is one whole request.
/// @return the status of each answer; 0 if there was none.
std::vector<int> run_calm(
    const std::vector<std::string>& requests, const machine_limits& limits);

} // namespace mintknot::crowds

#endif
