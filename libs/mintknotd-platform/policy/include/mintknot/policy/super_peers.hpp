/// @file
/// Which instances of a very large group hold what all need: its super-peers.
///
/// In a flat group everybody hears everybody and holds the rows of all servers:
/// the work of one instance grows with instances and servers. 986 instances and
/// 10,000 servers took 1,269 s of processor before the first request, and each
/// read all rows from the store. Beyond max_flat_group a few super-peers of
/// each data centre hear each other, hold the rows and place requests; all
/// others are leaves, which know the super-peers and the configuration, and are
/// told the servers of each request.
///
/// Inputs: data centre and capacity of the members, as old as their last
/// request to join. Each member asks those with the highest ranks, so that all
/// follow the same answer; two answers that differ for a while only place less
/// evenly. Log events: `role`, `orphaned`.
#ifndef MINTKNOT_POLICY_SUPER_PEERS_HPP
#define MINTKNOT_POLICY_SUPER_PEERS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace mintknot::policy {

/// The largest flat group: in one of a thousand each would hear all others.
inline constexpr std::size_t max_flat_group = 400;

/// Members of a data centre that the others ask for the roster, the first ones
/// by rank: one may have died and one be cut off.
inline constexpr std::size_t registrars_asked = 3;

/// An instance as far as duties are concerned.
struct instance_info {
    std::string host;
    std::string data_centre;
    /// Class of what it can do for others; see capacity_class().
    int capacity = 0;

    friend bool
    operator==(const instance_info&, const instance_info&) = default;
};

/// What an instance is to the group.
enum class group_role {
    flat,      ///< Hears all others, as far as it knows.
    leaf,      ///< Asks super-peers.
    super_peer ///< Holds state and places requests for others.
};

const char* to_string(group_role value) noexcept;

bool needs_super_peers(std::size_t instances);

/// @param processor_share of a core. @return a class that doubles share by
/// share, so that small differences do not move duties about.
int capacity_class(double processor_share);

/// @return members of one data centre in the order in which they take duties:
/// the strongest class first, by rendezvous hashing within a class.
std::vector<instance_info> ranked(std::vector<instance_info> members);

/// @param by_rank as from ranked(). @param data_centres in the group.
/// @return how many of them, from the first on, are super-peers.
std::size_t super_peers_among(
    const std::vector<instance_info>& by_rank, std::size_t data_centres);

/// @return hosts that a member asks for the roster: the first ones by rank that
/// answer, without itself.
/// @param by_rank super-peers of its data centre, then those who would be next.
std::vector<std::string> registrars(
    const std::vector<instance_info>& by_rank, const std::string& own_host,
    const std::vector<std::string>& silent);

/// @return true if members ask this one while all answer.
bool is_registrar(
    const std::vector<instance_info>& by_rank, const std::string& own_host);

} // namespace mintknot::policy

#endif
