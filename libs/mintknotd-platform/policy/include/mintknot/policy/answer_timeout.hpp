/// @file
/// Adaptive timeouts for queries to peer instances.
///
/// Inputs: the response times of each peer, including answers that arrived
/// after the timeout. With a fixed timeout of 30 ms, instances in other regions
/// (20 ms away) were treated as unresponsive 6,643 times in a day without
/// faults (67 instances in three regions). Plain calls were then placed 60 ms
/// late and by outdated loads, and streams without local capacity waited for a
/// timeout in each region in turn.
#ifndef MINTKNOT_POLICY_ANSWER_TIMEOUT_HPP
#define MINTKNOT_POLICY_ANSWER_TIMEOUT_HPP

#include <mintknot/base/time.hpp>

#include <map>
#include <string>

namespace mintknot::policy {

/// Response times of the queried instances, by host.
struct answer_times {
    struct host_times {
        base::milliseconds round_trip{0}; ///< Decaying maximum.
        base::steady_time sent_at{};      ///< Time of the latest query.
        bool awaiting_answer = false;
    };
    std::map<std::string, host_times> by_host;
};

/// Records that a query is sent to the host.
void note_query_sent(
    answer_times& times, const std::string& host, base::steady_time now);

/// Records an answer from the host, received before or after the timeout.
void note_answer_received(
    answer_times& times, const std::string& host, base::steady_time now);

/// @param min_timeout lower bound of the timeout.
/// @return how long to wait for an answer from the host.
base::milliseconds answer_timeout(
    const answer_times& times, const std::string& host,
    base::milliseconds min_timeout);

} // namespace mintknot::policy

#endif
