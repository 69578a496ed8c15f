/// @file
/// What an instance knows of the members of a very large group, as plain data.
#ifndef MINTKNOT_PEERS_MEMBER_TABLE_HPP
#define MINTKNOT_PEERS_MEMBER_TABLE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/peers/roster.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace mintknot::peers {

/// Between two requests of a member to each of those that it asks.
inline constexpr base::milliseconds join_period{1500};
/// A member that has not asked for so long is taken for gone: three requests.
inline constexpr base::milliseconds member_life{4600};
/// Likewise for a super-peer that has not told that it is one.
inline constexpr base::milliseconds claim_life{6500};
/// Members that are known from a roster only count for so long: by then they
/// have asked here themselves, or have gone.
inline constexpr base::milliseconds hearsay_life{6000};
/// A super-peer that no roster names gives its part up after this time, so that
/// two rosters that differ do not move duties to and fro.
inline constexpr base::milliseconds demotion_delay{20000};

/// A member that has asked here, or is known from a roster.
struct known_member {
    policy::instance_info value;
    base::steady_time until{};
};

/// A super-peer that has told of itself.
struct known_claim {
    super_peer_claim value;
    base::steady_time heard{};
};

struct member_table {
    policy::instance_info own;
    policy::group_role role = policy::group_role::flat;
    std::map<std::string, known_member> joined;     ///< By host.
    std::map<std::string, known_claim> super_peers; ///< By host.
    /// The last roster that was taken; the first one begins the role.
    roster view;
    base::steady_time confirmed_at{}; ///< When it was last made, by another.
    base::steady_time named_at{};     ///< When it last named this one.
    base::steady_time grown_at{};     ///< When a member was new here.
    bool registrar = false;           ///< Whether it is one that members ask.
    double usual_members = 1.0; ///< Of the own data centre, for some seconds.
    std::size_t instances = 1;  ///< The most that any roster told of.
};

/// Takes a member's request; one that leaves is forgotten.
void note_join(
    member_table& table, const std::string& host, const join_request& request,
    base::steady_time now);

void note_claim(
    member_table& table, const std::string& host, const super_peer_claim& claim,
    base::steady_time now);

/// Drops members and super-peers that have fallen silent. To be called once in
/// each join_period.
void expire(member_table& table, base::steady_time now);

/// @param heard instances that the flat group hears.
/// @return true if the group is known to be too large for a flat one.
bool is_very_large(
    const member_table& table, std::size_t heard, std::size_t max_flat_group);

/// @return the members of the own data centre that are known, with this one.
std::size_t members_here(const member_table& table);

/// @return what a member of the data centre is to know. Whom members ask ranks
/// those that it hears; others pass on what they were told, and so does one
/// that suddenly hears few: behind a cut it would rank itself alone.
roster roster_for(
    const member_table& table, const std::string& data_centre,
    base::steady_time now);

/// Takes a roster. @param from_other whether another instance has sent it.
/// @return the role that follows from it.
policy::group_role take_roster(
    member_table& table, roster value, bool from_other, base::steady_time now);

} // namespace mintknot::peers

#endif
