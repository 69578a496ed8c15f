/// @file
/// Reads what the `finished` line of a request says about its caller.
#ifndef MINTKNOT_LOSSES_SRC_FINISHED_LINE_HPP
#define MINTKNOT_LOSSES_SRC_FINISHED_LINE_HPP

#include "log_line.hpp"

#include <mintknot/losses/loss_ledger.hpp>

#include <string_view>

namespace mintknot::losses {

/// Stands for what a line of an older build does not say.
inline constexpr std::string_view unknown_name = "unknown";

/// @return the try that ended with the given line.
caller_try
caller_try_of(const log_line::json& line, const open_request& request);

} // namespace mintknot::losses

#endif
