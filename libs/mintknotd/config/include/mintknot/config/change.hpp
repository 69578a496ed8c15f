/// @file
/// One accepted change of the configuration.
#ifndef MINTKNOT_CONFIG_CHANGE_HPP
#define MINTKNOT_CONFIG_CHANGE_HPP

#include <mintknot/config/resource.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace mintknot::config {

/// A log entry. The head revision counts the changes.
struct change {
    std::uint64_t revision = 0; ///< Head revision that it made.
    std::string change_id;      ///< Random; to read back after a lost answer.
    std::string author;         ///< Name of the operator's key.
    resource_kind kind = resource_kind::service;
    std::string name;
    bool erased = false;
    nlohmann::json spec; ///< Unless erased.
};

nlohmann::json to_json(const change& value);

/// @return nothing if the document is not a change.
std::optional<change> change_from_json(const nlohmann::json& document);

} // namespace mintknot::config

#endif
