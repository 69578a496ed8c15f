/// @file
/// How fast prefill engines read prompts, from what was observed.
///
/// Fed by the end of each prefill here; in large groups also by what other
/// instances report to a scheduler.
#ifndef MINTKNOT_POLICY_READ_RATES_HPP
#define MINTKNOT_POLICY_READ_RATES_HPP

#include <mintknot/base/time.hpp>

#include <set>
#include <string>
#include <unordered_map>

namespace mintknot::policy {

/// How fast prefill engines have been seen to read, in tokens a millisecond.
struct read_rates {
    std::unordered_map<std::string, double> by_id;
    std::set<std::string> fresh; ///< Observed here and not told to others yet.
};

/// Takes an observation: tokens read and how long it took.
void note_read(
    read_rates& rates, const std::string& id, double tokens,
    base::milliseconds took);

/// Takes a rate that another instance has observed.
void note_rate(read_rates& rates, const std::string& id, double rate);

/// Drops what is known of an engine.
void forget(read_rates& rates, const std::string& id);

/// @return the expected rate of an engine: its own, or the median of all that
/// are known.
double rate_of(const read_rates& rates, const std::string& id);

/// @return how long an engine needs to read so many tokens.
base::milliseconds
read_time(const read_rates& rates, const std::string& id, double tokens);

} // namespace mintknot::policy

#endif
