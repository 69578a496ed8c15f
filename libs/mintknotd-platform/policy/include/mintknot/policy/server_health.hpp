/// @file
/// Which backend servers are avoided: outlier ejection.
///
/// Inputs: results of own calls, at once; peers' warnings, as old as their last
/// heartbeat or report; at a scheduler also the results of the calls of those
/// that ask it; orders to engines, own and peers'. An ejected server is
/// chosen only where there is no other, and is checked before its time is over
/// (relay/health_prober.hpp). Guards against calls to servers that are dead,
/// cut off or turn everything away.
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

/// What became of one call, as far as it says something of the server.
enum class call_result {
    good,        ///< A proper answer.
    failed,      ///< Its own failure, a broken or a wrong answer.
    rejected,    ///< It said that it did not run the request.
    unreachable, ///< No connection.
    silent,      ///< No sign for longer than can be expected.
    slow,        ///< No answer for long, which may lie in the request.
    misdirected, ///< Another server has its address.
};

std::string_view to_string(call_result value) noexcept;

/// Recent results of one server, weighed down with age.
struct health_record {
    double good = 0.0;
    double bad = 0.0;
    int failures_in_a_row = 0;
    int rejections_in_a_row = 0;
    int ejections = 0; ///< Since it was last trusted.
    base::steady_time changed{};
    base::steady_time avoid_until{};
    base::steady_time good_at{};
};

/// Results of one server's calls that say something of the server itself.
struct result_counts {
    int good = 0;
    int bad = 0; ///< Failed or silent; what lies on the way is not counted.
    int rejected = 0;
};

/// By server ID.
using result_map = std::unordered_map<std::string, result_counts>;

/// A server that an instance avoids, and for how much longer.
struct server_warning {
    std::string server_id;
    base::milliseconds left{0};
};

/// Records by server ID, and peers' warnings.
struct health_view {
    std::unordered_map<std::string, health_record> own;
    /// What peers have told of the results of their calls.
    std::unordered_map<std::string, health_record> of_peers;
    result_map untold; ///< Own results, until peers are told of them.
    /// Until when a peer advises to avoid a server.
    std::unordered_map<std::string, base::steady_time> warned_until;
    /// Until when an engine is not used because it changes its phase, by an
    /// order of this instance or of a peer.
    std::unordered_map<std::string, base::steady_time> ordered_until;
    std::unordered_map<std::string, base::steady_time> peers_ordered_until;
    rest_view resting;
    limit_view limits;
};

/// Takes the result of a call. @return true if the server is avoided from now
/// on and was not before.
bool note(
    health_view& view, const std::string& id, call_result result,
    base::steady_time now);

/// Takes results of a peer's calls. Failures do not eject a server, but count
/// in failure_share(); rejections without a good answer pause it as own ones
/// do. In a group of hundreds one instance meets each server every few seconds;
/// whoever places for all hears of its results within some 60 ms.
void note_peer_results(
    health_view& view, const result_map& results, base::steady_time now);

/// @return the results of own calls since the last time.
result_map take_untold(health_view& view);

/// An engine changes its phase until then by an own order; see end_change().
void note_change(
    health_view& view, const std::string& id, base::steady_time until);

/// The same by a peer's order. Not believed once its row has shown the change.
void note_peer_change(
    health_view& view, const std::string& id, base::steady_time until);

/// @return true if an order for the engine is known to be under way.
bool changing(
    const health_view& view, const std::string& id, base::steady_time now);

/// The row of an engine has told something new: it is used again.
void end_change(health_view& view, const std::string& id);

/// Takes a peer's warning, unless own calls have just shown otherwise.
void warn(
    health_view& view, const std::string& id, base::steady_time until,
    base::steady_time now);

/// @return what this instance itself avoids, for its peers.
std::vector<server_warning>
own_warnings(const health_view& view, base::steady_time now);

/// @return true if a server is to be chosen only where there is no other. What
/// many peers have just had good answers from is not avoided for the few calls
/// of one instance: among hundreds there is always one that has met three
/// failures in a row.
bool avoided(
    const health_view& view, const std::string& id, base::steady_time now);

/// @return for how much longer a server is avoided or rests; zero if neither.
base::milliseconds avoided_for(
    const health_view& view, const std::string& id, base::steady_time now);

/// @return how long ago the last call to any of the servers went well; zero if
/// none ever did.
base::milliseconds outage_age(
    const health_view& view, const std::vector<const traffic::server*>& servers,
    base::steady_time now);

/// @return until when this instance itself avoids a server, or the epoch.
base::steady_time avoided_until(const health_view& view, const std::string& id);

/// @return the share of recent calls that failed, in [0, 1], own ones and those
/// that peers have told of.
double failure_share(const health_view& view, const std::string& id);

/// Takes the result of a health check of an avoided server. One that passes
/// is trusted again, on trial; else it is avoided for longer.
void note_check(
    health_view& view, const std::string& id, bool passed,
    base::steady_time now);

/// Drops what is known of a server.
void forget(health_view& view, const std::string& id);

} // namespace mintknot::policy

#endif
