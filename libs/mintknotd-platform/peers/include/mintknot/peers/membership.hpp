/// @file
/// Finds this instance's part in a group that is too large to be flat.
#ifndef MINTKNOT_PEERS_MEMBERSHIP_HPP
#define MINTKNOT_PEERS_MEMBERSHIP_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/peers/member_table.hpp>
#include <mintknot/peers/peer_table.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::peers {

struct membership_options {
    policy::instance_info own;
    std::vector<std::string> seeds; ///< Hosts; stale ones do no harm.
    std::size_t max_flat_group = policy::max_flat_group;
};

/// How the membership reaches the rest of the instance.
struct membership_handlers {
    /// Sends a datagram to the instance on a host.
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return whom the flat group, or the group of super-peers, hears.
    std::function<const peer_table&()> heard;
    /// @return true while this instance is about to stop.
    std::function<bool()> leaving;
    /// A roster was taken or confirmed, or the role has changed.
    std::function<void(policy::group_role, const roster&)> on_roster;
};

/// Asks for the roster of super-peers, and gives it to those who ask. In a
/// group that is not very large it sends a few datagrams to the seeds after its
/// start and nothing else. A member sends three datagrams in each join_period
/// and gets as many, whatever the size of the group; the three that are asked
/// get them from all of their data centre.
///
/// Lives on the loop's thread; everything that is passed in outlives it.
class membership {
public:
    membership(
        event::loop& owner, logging::line_log& log, membership_options options,
        membership_handlers handlers);
    ~membership();
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    void start();
    /// Tells that this instance leaves.
    void leave();

    /// @return false if the datagram is about something else.
    bool receive(const std::string& host, std::string_view datagram);
    /// An instance that is no super-peer takes this group for a flat one.
    void on_stranger(const std::string& host, const std::string& data_centre);

    policy::group_role role() const;
    const member_table& table() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::peers

#endif
