/// @file
/// Decides whether a completely received request is accepted, and routes it.
///
/// Inputs: the active configuration, whether the instance is stopping, and the
/// inputs of access.hpp. Whether there is room for it is decided before, while
/// it is read (caller_memory.hpp).
/// A request refused here has not been executed. Log event: `refused`.
#ifndef MINTKNOT_POLICY_ENTRY_CHECK_HPP
#define MINTKNOT_POLICY_ENTRY_CHECK_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/access.hpp>
#include <mintknot/traffic/configuration.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace mintknot::policy {

/// State of the instance that the decision depends on.
struct entry_conditions {
    const traffic::configuration* config = nullptr; ///< Null: none is loaded.
    bool stopping = false;
    base::milliseconds since_stop{0}; ///< Only with `stopping`.
    base::milliseconds grace{0};      ///< Total duration of a stop.
    configuration_freshness freshness;
};

/// The properties of a request that the decision depends on.
struct entry_request {
    std::string_view host;   ///< As in the request head.
    std::string_view target; ///< As in the request head.
    std::optional<std::string> key;
    std::optional<base::milliseconds> deadline; ///< Counted from its arrival.
    base::milliseconds age{0};                  ///< Since its arrival.
};

/// The route and service of an accepted request, or a refusal.
struct entry_decision {
    const traffic::route* route = nullptr;
    const traffic::service* service = nullptr; ///< Null: refused.
    /// Organisation that the key belongs to; null: anonymous.
    const traffic::organisation* organisation = nullptr;
    int status = 0; ///< HTTP status of the refusal.
    std::string_view reason;
    std::optional<base::milliseconds> retry_after;
};

/// Checks and routes a request.
/// @param draw uniform random number in [0, 1); chooses among the services of a
/// route.
entry_decision check_entry(
    const entry_conditions& conditions, const entry_request& request,
    double draw);

} // namespace mintknot::policy

#endif
