/// @file
/// Runs a script against real processes behind the fault proxy.
#ifndef MINTKNOT_SCENARIO_SCENARIO_RUN_HPP
#define MINTKNOT_SCENARIO_SCENARIO_RUN_HPP

#include "script.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mintknot::scenario {

/// @return an empty text if every step held, or what failed: the script's
/// line, what was found, the decision records of the calls, and the logs.
std::string run_script(const std::vector<step>& steps);

} // namespace mintknot::scenario

#endif
