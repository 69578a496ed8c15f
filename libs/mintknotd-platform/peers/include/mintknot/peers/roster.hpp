/// @file
/// The datagrams by which members of a very large group learn its super-peers.
#ifndef MINTKNOT_PEERS_ROSTER_HPP
#define MINTKNOT_PEERS_ROSTER_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/super_peers.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mintknot::peers {

/// A member tells of itself and asks for the roster.
struct join_request {
    std::string data_centre;
    int capacity = 0;
    bool leaving = false;
    std::uint64_t known = 0; ///< Revision that it has from the receiver.
};

/// The answer: who does what, as the sender sees it.
struct roster {
    std::uint64_t revision = 0; ///< Same content, same number; never 0.
    std::size_t instances = 0;  ///< Members of all data centres.
    /// Of all data centres, by rank within each.
    std::vector<policy::instance_info> super_peers;
    /// Of the receiver's data centre, those who would be next.
    std::vector<policy::instance_info> successors;
    /// Since an instance that members ask has made it; others pass it on.
    base::milliseconds age{0};
};

/// The answer where the receiver has the roster already.
struct roster_confirmation {
    std::uint64_t revision = 0;
    std::size_t instances = 0;
    base::milliseconds age{0}; ///< As in the roster.
};

/// A super-peer tells the others that it is one.
struct super_peer_claim {
    std::string data_centre;
    int capacity = 0;
    std::size_t members = 0; ///< Of its data centre, itself included.
};

using roster_message =
    std::variant<join_request, roster, roster_confirmation, super_peer_claim>;

/// @return the message in MessagePack.
std::string encode(const roster_message& value);

/// @return InvalidArgument if the datagram is none of these messages.
absl::StatusOr<roster_message> decode_roster_message(std::string_view datagram);

/// @return a number for what a roster says, without its counts and its age.
std::uint64_t revision_of(const roster& value);

/// @return the members of a data centre that are in a roster, super-peers
/// first.
std::vector<policy::instance_info>
members_in(const roster& value, const std::string& data_centre);

} // namespace mintknot::peers

#endif
