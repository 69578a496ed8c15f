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

} // namespace mintknot::state

#endif
