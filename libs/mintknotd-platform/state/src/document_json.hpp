/// @file
/// Documents in JSON, as instances send them to each other.
#ifndef MINTKNOT_STATE_DOCUMENT_JSON_HPP
#define MINTKNOT_STATE_DOCUMENT_JSON_HPP

#include <mintknot/state/store.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace mintknot::state {

nlohmann::json to_json(const document& value);

/// @return nothing unless every row is a document.
std::optional<std::vector<document>> documents_from(const nlohmann::json& rows);

/// Where closures stand, in a snapshot or beside the documents of an answer;
/// older instances do not look at it.
inline constexpr const char* closures_field = "closures";

/// @return the same as documents_from(), of the kind that closes data centres.
std::optional<std::vector<document>> closures_from(const nlohmann::json& rows);

} // namespace mintknot::state

#endif
