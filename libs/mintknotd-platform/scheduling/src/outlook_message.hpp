/// @file
/// The forecast of a decode engine in the answer to a placement request.
#ifndef MINTKNOT_SCHEDULING_OUTLOOK_MESSAGE_HPP
#define MINTKNOT_SCHEDULING_OUTLOOK_MESSAGE_HPP

#include <mintknot/policy/placement.hpp>

#include <nlohmann/json.hpp>

namespace mintknot::scheduling {

/// The peak, the time until it, and the age of the last report, null if there
/// is none.
nlohmann::json outlook_to_json(const policy::engine_outlook& value);

/// Throws json::exception at a malformed part.
policy::engine_outlook outlook_from(const nlohmann::json& row);

} // namespace mintknot::scheduling

#endif
