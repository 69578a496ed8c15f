/// @file
/// The configurations that the operator of a soak writes.
#ifndef MINTKNOT_SOAK_SOAK_CONFIGURATION_HPP
#define MINTKNOT_SOAK_SOAK_CONFIGURATION_HPP

#include <cstddef>
#include <string>

namespace mintknot::soak {

/// What a configuration holds beside the four routes of the load and a route
/// that is named after its version.
struct configuration_form {
    int version = 0;
    bool scarce_capacity = false; ///< See group_form.
    std::size_t unused_routes = 0;
};

/// @return the configuration as the platform's store keeps it.
std::string configuration_text(const configuration_form& form);

} // namespace mintknot::soak

#endif
