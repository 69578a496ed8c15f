/// @file
/// Authorization of requests by API key.
///
/// Inputs: the organisations of the active configuration, the key as received,
/// and the time since the configuration was last confirmed as the latest. A key
/// may have been revoked since then. If revocations must take effect within a
/// bound, an instance that has been without contact to the store for that long
/// refuses all requests that need a key. A request refused here has not been
/// executed. Log events: `refused`, `given_up` with `unknown_key`,
/// `old_knowledge`.
#ifndef MINTKNOT_POLICY_ACCESS_HPP
#define MINTKNOT_POLICY_ACCESS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/organisation_table.hpp>

#include <optional>
#include <string>

namespace mintknot::policy {

/// Safety margin below the revocation bound. Covers the transfer of a request
/// to its server and clocks that run at slightly different rates.
inline constexpr base::milliseconds staleness_margin{100};

/// Age of the configuration on this instance, and the limit for it.
struct configuration_freshness {
    /// Time since the configuration was last known to be the latest; empty if
    /// it never was.
    std::optional<base::milliseconds> age;
    /// Time within which a key revocation must take effect on all instances;
    /// empty if there is no such bound, so that any age is accepted.
    std::optional<base::milliseconds> revocation_bound;
};

/// @return true if the configuration is recent enough to accept a key that it
/// lists.
bool is_fresh(const configuration_freshness& freshness);

/// Result of a key check.
enum class access_verdict {
    granted,            ///< Allowed, possibly without an organisation.
    unknown_key,        ///< No key was sent, or no organisation has this key.
    stale_configuration ///< The configuration is too old to check the key.
};

struct access_decision {
    access_verdict what = access_verdict::granted;
    const traffic::organisation* organisation = nullptr; ///< Null: anonymous.
};

/// Checks whether a request with this key is allowed.
/// @param organisations null if no route needs a key.
/// @param open_to_all true if the route needs no key. A valid key still
/// attributes the request to its organisation.
access_decision check_access(
    const traffic::organisation_table* organisations, bool open_to_all,
    const std::optional<std::string>& key,
    const configuration_freshness& freshness);

} // namespace mintknot::policy

#endif
