/// @file
/// Compares what the code writes with committed text.
#ifndef MINTKNOT_COMPATIBILITY_EXPECTED_TEXT_HPP
#define MINTKNOT_COMPATIBILITY_EXPECTED_TEXT_HPP

#include <string>
#include <string_view>

namespace mintknot::compatibility {

/// @return true if the file of that name in expected/ holds just this text.
/// Else the first line that differs and the whole text go to standard error.
/// Instances of two versions run side by side during a rolling replacement: a
/// file changes only together with a plan for that.
bool matches_expected(const std::string& file, const std::string& text);

/// @return two hexadecimal digits a byte, 32 bytes a line.
std::string to_hex(std::string_view bytes);

} // namespace mintknot::compatibility

#endif
