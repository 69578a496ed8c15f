/// @file
/// The group of instances: the sizes from which it works differently, and which
/// instance performs a duty that one does for all others.
///
/// Inputs: the hosts of live instances that are not about to stop, as recent as
/// their last heartbeat. Two instances may know different hosts and so disagree
/// for a while; each duty is harmless when two instances perform it.
#ifndef MINTKNOT_POLICY_GROUP_HPP
#define MINTKNOT_POLICY_GROUP_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/super_peers.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::policy {

/// Largest group in which every instance places its own requests. A larger one
/// uses schedulers, and only a few instances read the store: the messages from
/// each instance to all others grow with the square of the group size, and
/// placements by slightly outdated loads collide.
inline constexpr std::size_t max_small_group = 24;

/// Services with more open servers are split by data centre, so that no
/// instance has to score all of them for each request.
inline constexpr std::size_t max_unsplit_servers = 24;

/// Time without a heartbeat after which an instance is considered gone; in very
/// large groups, where heartbeats are less frequent, peers::life() is used.
/// Allows for a few lost heartbeats of a large group, which sends one every 1.3
/// s.
inline constexpr base::milliseconds peer_lifetime{4000};

/// @return true if the group has more than max_small_group instances.
bool is_large_group(std::size_t instances);

/// @return how many instances share a group-wide limit (connections, retries):
/// the number of instances that were live at the same time, but at least ten,
/// because an instance that has just started does not know all others yet.
std::size_t assumed_instances(std::size_t live_at_once);

/// How an instance of a large group follows changes in the store.
struct store_access {
    /// Hosts of its data centre that it gets changes from. If empty, or if it
    /// is one of them itself, it reads the store.
    std::vector<std::string> sources;
    /// Whether it also reads the store if its sources answer but cannot reach
    /// the store, rather than only if no source answers.
    bool reads_store_as_fallback = true;
    /// Whether full reads also go to the sources, which keeps them off the
    /// store: its link and its costs allow for a few readers, not for a
    /// thousand.
    bool full_reads_from_sources = false;
};

/// Store access in a group without super-peers. Two instances of a data centre
/// read the store, however large the data centre is, because every reader adds
/// load to the store for each change. In larger data centres, one relay for
/// every twelve instances passes on what these two have received, because a
/// reader's link is narrow: with two readers for a hundred instances, some got
/// a new configuration only after 2.3 s; with one relay for every twelve, all
/// got it within 0.32 s (300 instances, 437 servers leaving at once). If both
/// readers fail to reach the store, only the relays read it in their place.
/// @param hosts of the data centre that are not about to stop, including this
/// one.
store_access flat_store_access(
    const std::string& own_host, const std::vector<std::string>& hosts);

/// Store access in a group with super-peers: two super-peers of the data centre
/// read the store, its other super-peers ask these two, and leaves ask
/// super-peers.
/// @param super_peers of the data centre.
store_access super_peer_store_access(
    const std::vector<std::string>& super_peers, group_role role);

/// @return true if this instance plans the phases of engines: its host is the
/// smallest of all instances that are not about to stop. If two instances both
/// conclude this, the lease in the store decides.
bool is_phase_balancer(
    const std::string& own_host, const std::vector<std::string>& others);

/// @return the host that plans phases, if it is to be sent the demand observed
/// here: it is another instance of the own data centre. Empty otherwise.
std::string demand_report_target(
    const std::string& own_host, const std::vector<std::string>& others,
    const std::vector<std::string>& others_in_data_centre);

/// @return hosts of the instances that receive all reports of servers that
/// crashed while handling requests, and decide which requests caused the
/// crashes (crash_evidence.hpp): all instances of a small group, three of a
/// large one.
/// @param hosts of all instances that are not about to stop, including this one
/// if it is eligible.
std::vector<std::string>
crash_evaluators(const std::vector<std::string>& hosts);

} // namespace mintknot::policy

#endif
