/// @file
/// Which source a program was built from.
#ifndef MINTKNOT_BUILD_INFO_HPP
#define MINTKNOT_BUILD_INFO_HPP

#include <string_view>

namespace mintknot::build {

/// Identifies a build in logs, metrics and `--version`.
struct info {
    std::string_view version = "unknown";
    /// Abbreviated commit, followed by "-modified" if the sources differed from
    /// it; "unknown" if the build saw no history.
    std::string_view commit = "unknown";
};

/// @return the build that this program is linked from.
info current() noexcept;

} // namespace mintknot::build

#endif
