/// @file
/// How long another instance has for an answer before another one is asked.
///
/// Inputs: how long its answers have taken, also those that came too late. With
/// 30 ms for all, instances of other regions, 20 ms away, were taken for silent
/// 6,643 times on a day without trouble (67 instances in three regions): plain
/// calls were then placed 60 ms late by old loads, and streams that found no
/// room nearby waited through each region in turn.
#ifndef MINTKNOT_POLICY_ANSWER_PACE_HPP
#define MINTKNOT_POLICY_ANSWER_PACE_HPP

#include <mintknot/base/time.hpp>

#include <map>
#include <string>

namespace mintknot::policy {

/// Of the instances that are asked, by host.
struct answer_paces {
    struct pace {
        base::milliseconds round_trip{0}; ///< Of the slowest ones lately.
        base::steady_time asked{};        ///< The last question.
        bool waits = false;
    };
    std::map<std::string, pace> by_host;
};

/// A question goes out.
void note_asked(
    answer_paces& paces, const std::string& host, base::steady_time now);

/// An answer has come, in time or not.
void note_answered(
    answer_paces& paces, const std::string& host, base::steady_time now);

/// @param least that any instance has, however near it is.
/// @return how long an answer from there is waited for.
base::milliseconds patience_for(
    const answer_paces& paces, const std::string& host,
    base::milliseconds least);

} // namespace mintknot::policy

#endif
