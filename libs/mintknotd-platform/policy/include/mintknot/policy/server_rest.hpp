/// @file
/// Rests of servers: backoffs that a server asks this instance for.
///
/// Unlike the avoidance of unhealthy servers (server_health.hpp), this is a
/// strict rule: a resting server is not chosen even if there is no other one,
/// regardless of what peers report, and gets neither health checks nor load
/// queries. Log event: `server_rests`.
#ifndef MINTKNOT_POLICY_SERVER_REST_HPP
#define MINTKNOT_POLICY_SERVER_REST_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::policy {

/// Maximum rest, so that an erroneous value does not exclude a server for
/// hours.
inline constexpr base::milliseconds max_rest{60000};

/// End of the rest by server ID.
struct rest_view {
    std::unordered_map<std::string, base::steady_time> until;
};

/// Records that a server has asked for a rest. Never shortens a current one.
/// @return true if the server was not resting before.
bool note_rest(
    rest_view& view, const std::string& id, base::milliseconds requested,
    base::steady_time now);

/// @return true if the server is resting, so that it must get no request.
bool rests(const rest_view& view, const std::string& id, base::steady_time now);

/// @return the end of the server's rest; the clock's epoch if it has none.
base::steady_time rest_end(const rest_view& view, const std::string& id);

/// @return time until the first of the servers may be used again; empty if one
/// of them is not resting, or if there are no servers.
std::optional<base::milliseconds> time_until_first_rest_end(
    const rest_view& view, const std::vector<const traffic::server*>& servers,
    base::steady_time now);

} // namespace mintknot::policy

#endif
