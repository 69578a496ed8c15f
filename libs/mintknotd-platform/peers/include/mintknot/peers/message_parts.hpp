/// @file
/// Parts that several kinds of messages between instances have.
#ifndef MINTKNOT_PEERS_MESSAGE_PARTS_HPP
#define MINTKNOT_PEERS_MESSAGE_PARTS_HPP

#include <mintknot/policy/server_health.hpp>
#include <mintknot/traffic/load_view.hpp>

#include <nlohmann/json.hpp>

#include <vector>

namespace mintknot::peers {

/// The functions that read throw json::exception at a malformed part; the
/// caller decodes a whole message and reports the error.

/// @return the rows, which bound what one datagram can make the receiver do.
const nlohmann::json& bounded(const nlohmann::json& rows);

/// A profile in units of 64 tokens, the memory of an event: what is held at the
/// last point if no stream ends, the expected values at all points, then the
/// deviations from the second point on (at the first one all streams run).
/// Trailing zeros are left out. Most entries take one byte each, as an instance
/// has few streams on one engine.
nlohmann::json profile_to_json(const traffic::memory_profile& profile);
/// @return the profile; its start and what it covers are left to the caller.
traffic::memory_profile profile_from(const nlohmann::json& row);

/// A load has its profile as fifth element if it has one; older receivers
/// ignore it.
nlohmann::json loads_to_json(const traffic::load_map& loads);
traffic::load_map loads_from(const nlohmann::json& rows);

nlohmann::json
warnings_to_json(const std::vector<policy::server_warning>& warnings);
std::vector<policy::server_warning> warnings_from(const nlohmann::json& rows);

} // namespace mintknot::peers

#endif
