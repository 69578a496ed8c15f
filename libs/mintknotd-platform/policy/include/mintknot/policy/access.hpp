/// @file
/// Whether a caller's key lets its request in.
///
/// Inputs: the organisations of the configuration in force, the key as it was
/// received, and how old the knowledge is that no newer configuration exists.
/// A key may have been taken away since then: where keys must lapse within a
/// bound everywhere, an instance that has not heard of the store for so long
/// runs nothing that needs a key. Refusals of this file promise that nothing
/// has run. Log events: `refused`, `given_up` with `unknown_key`,
/// `old_knowledge`.
#ifndef MINTKNOT_POLICY_ACCESS_HPP
#define MINTKNOT_POLICY_ACCESS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/organisation_table.hpp>

#include <optional>
#include <string>

namespace mintknot::policy {

/// Between the last moment at which old knowledge lets a request in and the
/// bound: for the way of the request to its server, and for clocks that run at
/// slightly different rates.
inline constexpr base::milliseconds staleness_margin{100};

/// How old the knowledge of the configuration is, and may be.
struct configuration_freshness {
    /// Since the last moment at which nothing newer existed; nothing: there has
    /// never been one.
    std::optional<base::milliseconds> age;
    /// Within which a key that was taken away lapses everywhere; nothing: there
    /// is no such bound, and knowledge of any age will do.
    std::optional<base::milliseconds> revocation_bound;
};

/// @return true if a key that is found in the configuration may still be good.
bool is_fresh(const configuration_freshness& freshness);

/// What a key opens.
enum class access_verdict {
    granted,            ///< Also without an organisation, where none is needed.
    unknown_key,        ///< There is no key, or nobody holds it.
    stale_configuration ///< It cannot be told at present.
};

struct access_decision {
    access_verdict what = access_verdict::granted;
    const traffic::organisation* organisation = nullptr; ///< Null: nobody.
};

/// @param organisations null: no key is needed anywhere.
/// @param open_to_all whether the route needs none. A key that is known there
/// still tells whose request it is.
access_decision check_access(
    const traffic::organisation_table* organisations, bool open_to_all,
    const std::optional<std::string>& key,
    const configuration_freshness& freshness);

} // namespace mintknot::policy

#endif
