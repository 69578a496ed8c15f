/// @file
/// How long another instance has for an answer before another one is asked.
///
/// Inputs: how long its answers have taken, also those that came too late. With
/// 30 ms for all, instances of other regions, 20 ms away, were taken for silent
/// 6,643 times on a day without trouble (67 instances in three regions): plain
/// calls were then placed 60 ms late by old loads, and streams that found no
/// room nearby waited through each region in turn.
#ifndef MINTKNOT_POLICY_ANSWER_TIMEOUT_HPP
#define MINTKNOT_POLICY_ANSWER_TIMEOUT_HPP

#include <mintknot/base/time.hpp>

#include <map>
#include <string>

namespace mintknot::policy {

/// Of the instances that are asked, by host.
struct answer_times {
    struct host_times {
        base::milliseconds round_trip{0}; ///< Of the slowest ones lately.
        base::steady_time sent_at{};      ///< The last question.
        bool awaiting_answer = false;
    };
    std::map<std::string, host_times> by_host;
};

/// A question goes out.
void note_query_sent(
    answer_times& times, const std::string& host, base::steady_time now);

/// An answer has come, in time or not.
void note_answer_received(
    answer_times& times, const std::string& host, base::steady_time now);

/// @param least that any instance has, however near it is.
/// @return how long an answer from there is waited for.
base::milliseconds answer_timeout(
    const answer_times& times, const std::string& host,
    base::milliseconds min_timeout);

} // namespace mintknot::policy

#endif
