/// @file
/// Outlier ejection: which backend servers are avoided.
///
/// Inputs: the results of this instance's calls, at once; warnings of peers, as
/// old as their last heartbeat or report; at a scheduler also the results of
/// the calls of the instances that it serves; phase change orders of this
/// instance and of peers. An ejected server is chosen only if there is no
/// other, and its health is checked before the ejection ends
/// (relay/health_prober.hpp). Keeps calls away from servers that have crashed,
/// are unreachable or reject everything.
/// Log events: `server_avoided`, `health_check`.
#ifndef MINTKNOT_POLICY_SERVER_HEALTH_HPP
#define MINTKNOT_POLICY_SERVER_HEALTH_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/server_limit.hpp>
#include <mintknot/policy/server_rest.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mintknot::policy {

/// The result of one call, as far as it tells something about the server.
enum class call_result {
    good,        ///< A valid answer.
    failed,      ///< An error of the server, or an invalid answer.
    broken,      ///< The connection ended before the answer was complete.
    rejected,    ///< The server said that it did not run the request.
    unreachable, ///< The connection could not be established.
    silent,      ///< Nothing received for longer than expected.
    slow,        ///< No answer for long, possibly because of the request.
    misdirected, ///< Another server answers at its address.
};

std::string_view to_string(call_result value) noexcept;

/// @return true if a connection that was lost on the way to the server gives
/// the same result as a fault of the server (server_paths.hpp). A server that
/// is unreachable has to be avoided here in any case.
bool may_be_due_to_path(call_result value) noexcept;

/// Recent results of one server, with exponential decay.
struct health_record {
    double good = 0.0;
    double bad = 0.0;
    int failures_in_a_row = 0;
    int rejections_in_a_row = 0;
    int ejections = 0; ///< Decremented by each success while not ejected.
    base::steady_time changed{};
    base::steady_time avoid_until{};
    base::steady_time last_success{};
};

/// Results of one server's calls that tell something about the server itself.
struct result_counts {
    int good = 0;
    int bad = 0; ///< Failed or silent; network failures are not counted.
    int rejected = 0;
};

/// By server ID.
using result_map = std::unordered_map<std::string, result_counts>;

/// A server that an instance avoids, and for how long.
struct server_warning {
    std::string server_id;
    base::milliseconds left{0};
};

/// What an instance knows about the health of servers, by server ID.
struct health_view {
    std::unordered_map<std::string, health_record> own_records;
    /// Results of calls that peers have reported.
    std::unordered_map<std::string, health_record> peer_records;
    result_map unreported; ///< Own results not yet reported to peers.
    /// Until when a peer has warned to avoid a server.
    std::unordered_map<std::string, base::steady_time> warned_until;
    /// Until when an engine is not used because it changes its phase, by an
    /// order of this instance or of a peer.
    std::unordered_map<std::string, base::steady_time> phase_change_until;
    std::unordered_map<std::string, base::steady_time> peer_phase_change_until;
    rest_view resting;
    limit_view limits;
};

/// Records the result of a call.
/// @return true if the server is avoided from now on and was not before.
bool note_call_result(
    health_view& view, const std::string& id, call_result result,
    base::steady_time now);

/// Records the results of a peer's calls. Failures do not eject a server, but
/// count in failure_share(); rejections without a success pause it as own ones
/// do. In a group of hundreds, one instance calls each server only every few
/// seconds, while the scheduler receives the results of all calls within about
/// 60 ms.
void note_peer_results(
    health_view& view, const result_map& results, base::steady_time now);

/// @return the results of own calls since the last call of this function.
result_map take_unreported(health_view& view);

/// Records that an engine changes its phase by an own order, at the latest
/// until the given time; see end_phase_change().
void note_phase_change(
    health_view& view, const std::string& id, base::steady_time until);

/// The same for an order of a peer. Ignored after the engine's row has shown
/// the change.
void note_peer_phase_change(
    health_view& view, const std::string& id, base::steady_time until);

/// @return true if the engine is known to be changing its phase.
bool is_changing_phase(
    const health_view& view, const std::string& id, base::steady_time now);

/// Ends a phase change because the row of the engine has changed: the engine is
/// used again.
void end_phase_change(health_view& view, const std::string& id);

/// Records a peer's warning, unless an own call has just succeeded.
/// @return true if no warning of the server was in force before.
bool note_peer_warning(
    health_view& view, const std::string& id, base::steady_time until,
    base::steady_time now);

/// @return the servers that this instance has ejected or paused itself, as
/// warnings to its peers.
std::vector<server_warning>
own_warnings(const health_view& view, base::steady_time now);

/// @return true if a server is to be chosen only if there is no other. A server
/// that has just answered many calls of peers is not avoided because of a few
/// calls of one instance: among hundreds of instances there is always one with
/// three failures in a row.
bool is_avoided(
    const health_view& view, const std::string& id, base::steady_time now);

/// @return for how much longer a server is avoided or rests (server_rest.hpp);
/// zero if neither.
base::milliseconds avoided_for(
    const health_view& view, const std::string& id, base::steady_time now);

/// @return the time since the last successful call to any of the servers; zero
/// if none ever succeeded.
base::milliseconds outage_age(
    const health_view& view, const std::vector<const traffic::server*>& servers,
    base::steady_time now);

/// @return until when this instance itself avoids a server, or the clock's
/// epoch.
base::steady_time avoided_until(const health_view& view, const std::string& id);

/// @return the share of recent calls that failed, in [0, 1], own ones and those
/// reported by peers.
double failure_share(const health_view& view, const std::string& id);

/// Records the result of a health check of an avoided server. A server that
/// passes is used again, with its earlier ejections still counted; otherwise it
/// is avoided for longer.
void note_health_check(
    health_view& view, const std::string& id, bool passed,
    base::steady_time now);

/// Removes all records of a server.
void forget(health_view& view, const std::string& id);

} // namespace mintknot::policy

#endif
