/// @file
/// The software versions that the servers of each service have had.
///
/// While a service has had one version for as long as any stream may live,
/// every stream of it began at that version, and nobody need remember which.
///
/// Inputs: rows of servers, and when this instance had a complete view of them.
#ifndef MINTKNOT_POLICY_VERSION_HISTORY_HPP
#define MINTKNOT_POLICY_VERSION_HISTORY_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/configuration.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mintknot::policy {

/// A version of a service.
struct known_version {
    std::size_t servers = 0;       ///< That have it now.
    base::steady_time last_seen{}; ///< At a server that has gone or changed.
};

struct version_history {
    /// By service and version.
    std::map<std::string, std::map<std::string, known_version>> versions;
    /// Since when no server can have come and gone unseen.
    std::optional<base::steady_time> complete_since;
    base::steady_time confirmed{}; ///< When the view was last complete.
    /// Longest time between two confirmations while all is well; see
    /// max_table_age().
    base::milliseconds max_row_age{1500};
    /// Since when it has been confirmed as often as that.
    base::steady_time current_since{};
};

/// Takes a change of a server's row. @param before null: it was not known.
/// @param after null: it has gone.
void note_server_change(
    version_history& history, const traffic::server* before,
    const traffic::server* after, base::steady_time now);

/// Notes that the view of the servers is complete and up to date.
void note_complete_view(version_history& history, base::steady_time now);

/// @return the version that all servers of a service have had throughout the
/// window; empty if there were several, or if that is not known.
std::optional<std::string> only_version(
    const version_history& history, const std::string& service,
    base::milliseconds window, base::steady_time now);

/// @return true if rows tell of the processes that run now. While the store
/// cannot be read, and for a moment after that, an engine may have started
/// again with another version that no row tells of.
bool are_rows_current(const version_history& history, base::steady_time now);

/// @return the longest time for which a stream may last in one answer.
base::milliseconds longest_stream(const traffic::configuration& config);

} // namespace mintknot::policy

#endif
