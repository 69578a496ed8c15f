/// @file
/// The datagram that instances send each other.
#ifndef MINTKNOT_PEERS_HEARTBEAT_HPP
#define MINTKNOT_PEERS_HEARTBEAT_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/retry_allowance.hpp>
#include <mintknot/policy/server_health.hpp>
#include <mintknot/traffic/load_view.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::peers {

/// What one instance tells all others.
struct heartbeat {
    std::uint64_t incarnation = 0;   ///< Random; another one after a restart.
    std::uint64_t sequence = 0;      ///< Rises within an incarnation.
    std::uint64_t configuration = 0; ///< Newest version that it knows.
    std::uint64_t servers = 0;       ///< Likewise.
    bool leaving = false;
    std::string data_centre; ///< Of the sender.
    policy::usage_map usage; ///< Retries within the last window.
    /// Nothing: the sender tells its loads to schedulers only.
    std::optional<traffic::load_map> loads;
    std::vector<policy::server_warning> warnings;
    /// Engines that were ordered to change their phase.
    std::vector<policy::server_warning> changes;
    /// Tokens of memory that its requests wait for, by service.
    std::map<std::string, double> waiting;
    /// Some instances that it hears. None: it asks for as many as one datagram
    /// can name.
    std::vector<std::string> hosts;
};

/// @return the heartbeat in MessagePack.
std::string encode(const heartbeat& value);

/// @return false if the datagram begins as another kind of message.
bool is_heartbeat(std::string_view datagram);

/// @return InvalidArgument if the datagram is no heartbeat.
absl::StatusOr<heartbeat> decode(std::string_view datagram);

} // namespace mintknot::peers

#endif
