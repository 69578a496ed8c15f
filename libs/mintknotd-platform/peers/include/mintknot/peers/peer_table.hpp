/// @file
/// Which instances are heard, as plain data.
#ifndef MINTKNOT_PEERS_PEER_TABLE_HPP
#define MINTKNOT_PEERS_PEER_TABLE_HPP

#include <mintknot/peers/heartbeat.hpp>
#include <mintknot/policy/group.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mintknot::peers {

/// What is known of one other instance, by its host.
struct peer {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    base::steady_time heard{};
    std::uint64_t configuration = 0;
    std::uint64_t servers = 0;
    bool leaving = false;
    std::string data_centre;
};

/// Instances that are heard, and hosts that are only known by name.
struct peer_table {
    std::string own_host;
    std::string own_data_centre;
    std::map<std::string, peer> heard;
    /// Hosts from the settings and from peers, with the last time they were
    /// told of.
    std::map<std::string, base::steady_time> candidates;
    std::set<std::string> seeds;
    std::size_t largest_size = 1; ///< Most instances that lived at once.
};

/// A host that nobody hears is forgotten after this time.
inline constexpr base::milliseconds candidate_life{20000};

/// Takes a heartbeat. @return false if it is older than what was heard.
bool note(
    peer_table& table, const std::string& host, const heartbeat& value,
    base::steady_time now);

/// Drops instances that have fallen silent. @return their hosts.
std::vector<std::string> expire(peer_table& table, base::steady_time now);

/// Which of the instances that are heard.
enum class audience {
    near, ///< Those of the own data centre, and where it is not known.
    all
};

/// @return hosts of instances that are heard.
std::vector<std::string> heard_hosts(const peer_table& table, audience which);

/// @return hosts that are known by name only, to be sought.
std::vector<std::string> sought_hosts(const peer_table& table);

/// @return how often the own data centre is told of a state that does not
/// change: what an instance sends is not to grow with the group.
base::milliseconds
near_period(const peer_table& table, base::milliseconds base_period);

/// @return how often other data centres are told: they need it less.
base::milliseconds
far_period(const peer_table& table, base::milliseconds base_period);

/// @return how long an instance may be silent.
base::milliseconds life(const peer_table& table);

/// @return hosts of instances in a data centre (empty: in any) that are heard
/// and not about to stop.
std::vector<std::string>
staying(const peer_table& table, const std::string& data_centre);

/// @return instances that may exist: the most that were heard at once, with
/// this one.
std::size_t instances(const peer_table& table);

bool is_large(const peer_table& table);

} // namespace mintknot::peers

#endif
