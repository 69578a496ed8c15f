/// @file
/// The sentence of a status as a standard string, for fmt.
#ifndef MINTKNOT_BASE_STATUS_TEXT_HPP
#define MINTKNOT_BASE_STATUS_TEXT_HPP

#include <absl/status/status.h>

#include <string>

namespace mintknot::base {

/// @return the message of a status without its code.
inline std::string text_of(const absl::Status& status) {
    return std::string(status.message());
}

} // namespace mintknot::base

#endif
