/// @file
/// Whether the capacity of servers is shared among callers by priority,
/// organisation and return time, or given to whoever comes first.
#ifndef MINTKNOT_POLICY_CAPACITY_SHARING_HPP
#define MINTKNOT_POLICY_CAPACITY_SHARING_HPP

#include <mintknot/traffic/configuration.hpp>

namespace mintknot::policy {

/// Events that hold at least this many tokens make output a large part of what
/// a stream holds in memory: two blocks of 16 tokens for each event.
inline constexpr double min_tokens_per_large_event = 32.0;

/// @return true if the events of the service's engines are large.
bool has_large_events(const traffic::service& service);

/// @return true if callers compete for capacity by the settings of the
/// deployment, or the configuration has a service with large events.
/// @param callers_compete from the settings.
bool shares_capacity(
    const traffic::configuration& config, bool callers_compete);

} // namespace mintknot::policy

#endif
