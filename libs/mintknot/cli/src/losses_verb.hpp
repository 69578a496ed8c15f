/// @file
/// The verb `losses`.
#ifndef MINTKNOT_CLI_SRC_LOSSES_VERB_HPP
#define MINTKNOT_CLI_SRC_LOSSES_VERB_HPP

#include "verb_line.hpp"

namespace mintknot::cli {

exit_code run_losses(const arguments& given);

} // namespace mintknot::cli

#endif
