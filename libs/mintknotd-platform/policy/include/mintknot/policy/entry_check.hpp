/// @file
/// Whether a request that has been read whole begins, and where it is routed.
///
/// Inputs: the configuration in force, whether a stop is under way, the bytes
/// of all request bodies that are open here, and what access.hpp looks at.
/// Refusals of this file promise that nothing has run. Log event: `refused`.
#ifndef MINTKNOT_POLICY_ENTRY_CHECK_HPP
#define MINTKNOT_POLICY_ENTRY_CHECK_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/access.hpp>
#include <mintknot/traffic/configuration.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace mintknot::policy {

/// What is looked at beside the request.
struct entry_conditions {
    const traffic::configuration* config = nullptr; ///< Null: none is known.
    bool stopping = false;
    base::milliseconds since_stop{0}; ///< With `stopping`.
    base::milliseconds grace{0};      ///< From the stop's begin to its end.
    std::size_t open_body_bytes = 0;  ///< Of this request too.
    std::size_t max_body_bytes = 0;
    configuration_freshness freshness; ///< Of the configuration.
};

/// What is looked at of the request itself.
struct entry_request {
    std::string_view host;   ///< As in its head.
    std::string_view target; ///< Likewise.
    std::optional<std::string> key;
};

/// Either a route and its service, or a refusal.
struct entry_decision {
    const traffic::route* route = nullptr;
    const traffic::service* service = nullptr; ///< Null: refused.
    /// Whose request it is; null: nobody's.
    const traffic::organisation* organisation = nullptr;
    int status = 0; ///< HTTP status of the refusal.
    std::string_view reason;
    std::optional<base::milliseconds> retry_after;
};

/// @param draw uniform in [0, 1), chooses among the services of a route.
entry_decision check_entry(
    const entry_conditions& conditions, const entry_request& request,
    double draw);

} // namespace mintknot::policy

#endif
