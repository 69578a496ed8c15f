/// @file
/// Servers that have asked this instance to leave them alone for a while.
///
/// A bound, and no wish as avoiding a server is (server_health.hpp): a resting
/// server is not chosen where there is no other either, whatever peers say of
/// it, and it is neither checked nor asked. Log event: `server_rests`.
#ifndef MINTKNOT_POLICY_SERVER_REST_HPP
#define MINTKNOT_POLICY_SERVER_REST_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::policy {

/// The longest rest that is granted: a mistaken server is not lost for hours.
inline constexpr base::milliseconds max_rest{60000};

/// Ends of rests by server ID.
struct rest_view {
    std::unordered_map<std::string, base::steady_time> until;
};

/// A server asks for rest; a longer one that it has is not cut short.
/// @return true if it did not rest before.
bool note_rest(
    rest_view& view, const std::string& id, base::milliseconds requested,
    base::steady_time now);

bool rests(const rest_view& view, const std::string& id, base::steady_time now);

/// @return the end of the server's rest, or the epoch.
base::steady_time rest_end(const rest_view& view, const std::string& id);

/// @return after how long the first of the servers may be used again; nothing
/// unless all of them rest, or if there are none.
std::optional<base::milliseconds> time_until_first_rest_end(
    const rest_view& view, const std::vector<const traffic::server*>& servers,
    base::steady_time now);

} // namespace mintknot::policy

#endif
