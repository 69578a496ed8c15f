/// @file
/// Files of resources, as `validate` and `apply` read them.
#ifndef MINTKNOT_CLI_RESOURCE_FILE_HPP
#define MINTKNOT_CLI_RESOURCE_FILE_HPP

#include <mintknot/config/resource.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace mintknot::cli {

/// Parses {"resources": [{"kind", "name", "spec"}, ...]} and checks every
/// spec. @return the resources in the order in which they can be applied, or
/// one line for each error.
absl::StatusOr<std::vector<config::resource>>
parse_resources(std::string_view text);

/// Reads and parses a file. NotFound if it cannot be read.
absl::StatusOr<std::vector<config::resource>>
load_resources(const std::string& file);

} // namespace mintknot::cli

#endif
