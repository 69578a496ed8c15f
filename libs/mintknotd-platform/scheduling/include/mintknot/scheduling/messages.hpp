/// @file
/// Datagrams between instances that have requests to place and schedulers.
#ifndef MINTKNOT_SCHEDULING_MESSAGES_HPP
#define MINTKNOT_SCHEDULING_MESSAGES_HPP

#include <mintknot/policy/placement.hpp>
#include <mintknot/traffic/load_view.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mintknot::scheduling {

/// Asks the scheduler of a domain to place a request.
struct placement_request {
    std::uint64_t number = 0; ///< The answer repeats it.
    std::string data_centre;  ///< Of the domain; empty: all.
    policy::placement_query query;
    bool wants_server_rows = false; ///< The sender holds no rows of servers.
};

/// Answer to a placement_request.
struct placement_answer {
    std::uint64_t number = 0;
    bool knows_service = false; ///< Whether the scheduler knows the service; if
                                ///< not, `placed` is ignored.
    policy::placement placed;
    /// Rows of the servers in `placed`, if the request asked for them.
    std::vector<traffic::versioned_server> servers;
};

/// Observed rate of a prefill engine, in tokens per millisecond.
struct observed_rate {
    std::string id;
    double rate = 0.0;
};

/// All load that an instance has in flight in the receiver's domains, and what
/// it has observed of servers.
struct load_report {
    traffic::load_map loads;
    std::vector<policy::server_warning> avoided;
    std::vector<observed_rate> rates; ///< Since the last report.
    policy::result_map
        results; ///< Since the last report; older senders have none.
    /// Of plain servers since the last report; only while capacity is shared.
    policy::observed_call_map call_times;
};

using message = std::variant<placement_request, placement_answer, load_report>;

/// @return the message in MessagePack.
std::string encode(const message& value);

/// @return InvalidArgument if the datagram is not one of these messages.
absl::StatusOr<message> decode(std::string_view datagram);

} // namespace mintknot::scheduling

#endif
