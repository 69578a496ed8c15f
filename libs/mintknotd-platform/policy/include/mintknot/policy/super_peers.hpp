/// @file
/// Super-peers: the instances of a very large group that hold the shared state.
///
/// In a flat group every instance receives messages from all others and holds
/// the rows of all servers, so the work of each grows with instances and
/// servers: 986 instances and 10,000 servers took 1,269 s of CPU time before
/// the first request, and each read all rows from the store. Beyond
/// max_flat_group, a few super-peers of each data centre exchange messages,
/// hold the rows and place requests. All others are leaves: they know the
/// super-peers and the configuration, and super-peers choose the servers of
/// each of their requests.
///
/// Inputs: data centre and capacity of the members, as recent as their last
/// join request. Each member asks the registrars, which are the members with
/// the highest ranks, so that all follow the same answer; two answers that
/// differ for a while only spread the load less evenly. Log events: `role`,
/// `orphaned`.
#ifndef MINTKNOT_POLICY_SUPER_PEERS_HPP
#define MINTKNOT_POLICY_SUPER_PEERS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::policy {

/// Size of the largest flat group: in one of a thousand, each instance would
/// receive messages from all others.
inline constexpr std::size_t max_flat_group = 400;

/// Number of registrars: the members of a data centre, first by rank, that the
/// others ask for the roster. With three, one may have crashed and one may be
/// cut off.
inline constexpr std::size_t max_registrars = 3;

/// The properties of an instance by which duties are assigned.
struct instance_info {
    std::string host;
    std::string data_centre;
    /// Class of its processing capacity; see capacity_class().
    int capacity = 0;

    friend bool
    operator==(const instance_info&, const instance_info&) = default;
};

/// The role of an instance in the group.
enum class group_role {
    flat,      ///< Exchanges messages with all others it knows.
    leaf,      ///< Asks super-peers.
    super_peer ///< Holds state and places requests for others.
};

const char* to_string(group_role value) noexcept;

bool needs_super_peers(std::size_t instances);

/// @param processor_share in cores.
/// @return a capacity class. Each class is twice the one below, so that small
/// differences do not move duties between instances.
int capacity_class(double processor_share);

/// @return members of one data centre in the order in which they are assigned
/// duties: highest class first, by rendezvous hashing within a class.
std::vector<instance_info> rank_members(std::vector<instance_info> members);

/// @return how many members, from the first on, are super-peers.
/// @param by_rank as from rank_members().
/// @param data_centres number of data centres in the group.
std::size_t count_super_peers(
    const std::vector<instance_info>& by_rank, std::size_t data_centres);

/// @return the hosts that a member asks for the roster: the first ones by rank
/// that answer, without itself.
/// @param by_rank super-peers of its data centre, then the members that would
/// be next.
/// @param silent hosts that do not answer.
std::vector<std::string> registrars_to_ask(
    const std::vector<instance_info>& by_rank, const std::string& own_host,
    const std::vector<std::string>& silent);

/// @return true if the host is a registrar as long as all members answer.
bool is_registrar(
    const std::vector<instance_info>& by_rank, const std::string& own_host);

} // namespace mintknot::policy

#endif
