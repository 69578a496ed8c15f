/// @file
/// Sends and receives heartbeats.
#ifndef MINTKNOT_PEERS_PEER_GROUP_HPP
#define MINTKNOT_PEERS_PEER_GROUP_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/event/loop.hpp>
#include <mintknot/logging/line_log.hpp>
#include <mintknot/peers/peer_table.hpp>
#include <mintknot/policy/super_peers.hpp>

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::peers {

/// Settings of a group. All instances use the same port.
struct group_options {
    base::address own;
    std::string data_centre;
    std::vector<std::string> seeds; ///< Hosts; stale ones do no harm.
    base::milliseconds heartbeat_period{500};
    base::milliseconds min_gap{60};
    base::milliseconds search_period{1000};
};

/// How the group gets and gives what heartbeats tell.
struct group_handlers {
    /// Fills in everything but incarnation, sequence and hosts.
    std::function<heartbeat()> describe;
    std::function<void(const std::string& host, const heartbeat&)> on_heartbeat;
    /// Takes datagrams that are no heartbeats; may be empty.
    std::function<void(const std::string& host, std::string_view datagram)>
        on_other;
    /// A heartbeat came from an instance that is no super-peer, where there are
    /// super-peers; may be empty.
    std::function<void(const std::string& host, const std::string& data_centre)>
        on_stranger{};
};

/// Tells all instances that are heard of this one's state: at once when it
/// changes, but not more often than `min_gap`, else periodically, and in
/// very large groups more rarely beyond the own data centre. Where there are
/// super-peers they alone hear each other, and a leaf is told who they are.
class peer_group {
public:
    peer_group(
        event::loop& owner, logging::line_log& log, group_options options,
        group_handlers handlers);
    ~peer_group();
    peer_group(const peer_group&) = delete;
    peer_group& operator=(const peer_group&) = delete;

    absl::Status open();
    /// The own state has changed.
    void changed();
    const peer_table& table() const;
    /// This instance is a leaf: it sends and takes no heartbeats, and its table
    /// holds the super-peers. To be called again whenever they are confirmed.
    /// @param instances of the whole group.
    void follow(
        const std::vector<policy::instance_info>& super_peers,
        std::size_t instances);
    /// This instance is a super-peer, as these are.
    void lead(
        const std::vector<policy::instance_info>& super_peers,
        std::size_t instances);
    /// The group is a flat one; whoever is known is sought.
    void become_flat();
    /// Sends another kind of datagram to one instance.
    void send(const std::string& host, std::string_view datagram);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::peers

#endif
