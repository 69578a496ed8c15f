/// @file
/// The observed speed of prefill engines.
///
/// Updated at the end of each prefill of this instance; in large groups a
/// scheduler also gets the rates that other instances have observed.
#ifndef MINTKNOT_POLICY_PREFILL_RATES_HPP
#define MINTKNOT_POLICY_PREFILL_RATES_HPP

#include <mintknot/base/time.hpp>

#include <set>
#include <string>
#include <unordered_map>

namespace mintknot::policy {

/// Observed speeds of prefill engines, in tokens per millisecond, by server ID.
struct prefill_rates {
    std::unordered_map<std::string, double> by_id;
    /// Observed here and not reported to peers yet.
    std::set<std::string> unreported;
};

/// Records a prefill of so many tokens and the time that it took.
void note_prefill(
    prefill_rates& rates, const std::string& id, double tokens,
    base::milliseconds took);

/// Records an observed rate, for example one that a peer has reported.
void note_prefill_rate(
    prefill_rates& rates, const std::string& id, double rate);

/// Removes an engine.
void forget(prefill_rates& rates, const std::string& id);

/// @return the expected rate of an engine: its own or, if it is unknown, the
/// median of all known ones.
double prefill_rate_of(const prefill_rates& rates, const std::string& id);

/// @return the expected time of a prefill of so many tokens.
base::milliseconds
prefill_time(const prefill_rates& rates, const std::string& id, double tokens);

} // namespace mintknot::policy

#endif
