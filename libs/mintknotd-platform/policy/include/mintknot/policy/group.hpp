/// @file
/// The group of instances: what size makes a difference, and who does what one
/// instance is to do for others.
///
/// Inputs: the hosts that are heard and not about to stop, as old as their last
/// heartbeat. Two instances may hear others and so give different answers for a
/// while; each duty is harmless when two believe that it is theirs.
#ifndef MINTKNOT_POLICY_GROUP_HPP
#define MINTKNOT_POLICY_GROUP_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/super_peers.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::policy {

/// A larger group places requests by schedulers and reads the store through a
/// few: what each tells all others grows with the square of the group, and
/// choices by loads that are a moment old collide.
inline constexpr std::size_t max_small_group = 24;

/// Services with more open servers are placed on by parts: nobody looks at all
/// of them for each request.
inline constexpr std::size_t max_unsplit_servers = 24;

/// After this time without a heartbeat an instance is taken for gone; in very
/// large groups, where heartbeats are rarer, after peers::life(). Some lost
/// heartbeats of a large group, at 1.3 s.
inline constexpr base::milliseconds peer_life{4000};

/// @return true if the group is large.
bool is_large(std::size_t instances);

/// @return how many instances share what is limited in all (connections, retry
/// bound): those that lived at once, but ten at least, for an instance that has
/// just started has not heard all yet.
std::size_t assumed_instances(std::size_t heard_at_once);

/// How an instance of a large group learns what the store tells.
struct store_access {
    /// Instances of its data centre that it asks. None, or itself among them:
    /// it asks the store.
    std::vector<std::string> sources;
    /// Whether it asks the store where all that it asks are out of the store's
    /// reach, and not only where none of them answers.
    bool stands_in = true;
    /// Whether whole reads go to the sources as well: the store's link and its
    /// prices bear those of a few, not those of a thousand.
    bool shares_reads = false;
};

/// Two instances of a data centre follow the store, however large it is: each
/// is one more customer of the store for every change. In larger data centres
/// one instance for each dozen passes on what those two have, for a reader's
/// link is narrow: with two readers for a hundred instances some had a new
/// configuration after 2.3 s, with one for each dozen all within 0.32 s (300
/// instances, 437 servers that leave at once). Where both are turned away,
/// those stand in for them, and nobody else does.
/// @param hosts of the data centre that stay, this one included.
store_access store_access_of(
    const std::string& own_host, const std::vector<std::string>& hosts);

/// The same where there are super-peers: two of the data centre follow the
/// store, its other super-peers ask these, and leaves ask super-peers.
/// @param super_peers of the data centre.
store_access store_access_among(
    const std::vector<std::string>& super_peers, group_role role);

/// @return true if this instance looks after the phases of engines: the one
/// with the first host of all that stay. The lease in the store decides where
/// two believe it.
bool looks_after_phases(
    const std::string& own_host, const std::vector<std::string>& others);

/// @return the host that looks after phases if it is to be told what requests
/// here take: another one of the own data centre. Empty: nobody is.
std::string reader_of_demand(
    const std::string& own_host, const std::vector<std::string>& others,
    const std::vector<std::string>& others_in_data_centre);

/// @return hosts of instances that hear of all servers that have ended under
/// requests, and say which requests are to blame (crash_evidence.hpp): all of a
/// small group, three of a large one. @param hosts of all that stay, this one
/// included where it may be one of them.
std::vector<std::string>
judges_of_crashes(const std::vector<std::string>& hosts);

} // namespace mintknot::policy

#endif
