/// @file
/// Crowds against an instance of mintknotd.
#ifndef MINTKNOT_CROWDS_DAEMON_TRIAL_HPP
#define MINTKNOT_CROWDS_DAEMON_TRIAL_HPP

#include "crowd_trial.hpp"

namespace mintknot::crowds {

/// Whom a crowd sends to.
enum class daemon_target { callers, operators };

/// Plays the crowd against a system of its own: a platform, engines and one
/// instance with room for few requests.
trial_result run_daemon_trial(const crowd_plan& plan, daemon_target target);

} // namespace mintknot::crowds

#endif
