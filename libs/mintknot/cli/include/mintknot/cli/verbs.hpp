/// @file
/// The command line of `mintknot`: verbs and their options.
#ifndef MINTKNOT_CLI_VERBS_HPP
#define MINTKNOT_CLI_VERBS_HPP

#include <string>

namespace mintknot::cli {

/// Runs the verb that the arguments name. @return the exit code.
int run(int argc, char** argv, const std::string& version);

} // namespace mintknot::cli

#endif
