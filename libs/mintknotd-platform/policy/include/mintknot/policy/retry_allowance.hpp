/// @file
/// Retry budget of an instance for a service.
///
/// Keeps the configured bound on retries for all instances together. The method
/// depends on the size of the group (policy/group.hpp):
///
/// - Small groups: an instance spends its own share and retries that its peers
///   leave unused according to their latest heartbeats, which are about 60 ms
///   old. Compared with own shares alone this changed the net benefit by
///   0.016 at most (at least ten runs on each of three deployments); it helps
///   if only one instance needs retries.
/// - Large groups (retry_quota.hpp): heartbeats are up to several seconds old,
///   and all instances would spend the same remainder in the meantime. An
///   instance spends only its own quota and retries lent by peers.
///
/// Metrics: `mintknot_repeats_total`, `mintknot_repeats_lent`,
/// `mintknot_repeats_borrowed`. Refusals due to this budget have the reason
/// `retry_allowance_spent`.
#ifndef MINTKNOT_POLICY_RETRY_ALLOWANCE_HPP
#define MINTKNOT_POLICY_RETRY_ALLOWANCE_HPP

#include <mintknot/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::policy {

/// Bound on the retries of all instances together: in any window, at most
/// `ratio` retries per request plus `extra`.
struct retry_bounds {
    double ratio = 0.2;
    double extra = 20.0;
    base::milliseconds window{10000};

    bool operator==(const retry_bounds&) const = default;
};

/// Number of requests and retries of one service.
struct retry_usage {
    std::int64_t requests = 0;
    std::int64_t retries = 0;
};

/// Usage by service name.
using usage_map = std::unordered_map<std::string, retry_usage>;

/// Usage of the peers within the last window, as reported by them.
struct fleet_usage {
    retry_usage peers;     ///< Includes peers that have left meanwhile.
    std::size_t heard = 0; ///< Number of peers that send heartbeats.
};

/// Counts over a sliding window, in steps of a tenth of it.
struct usage_window {
    static constexpr std::size_t steps_in_window = 10;
    /// One more than a window has: the newest step is still in progress, so
    /// that a window overlaps this many steps.
    static constexpr std::size_t steps = steps_in_window + 1;
    std::array<retry_usage, steps> counts{};
    std::int64_t newest_step = 0;
};

/// Retries that one instance has lent to another.
struct retry_loan {
    int retries = 0;
    /// Time until which the lender counts them, or the borrower may use them.
    base::steady_time until{};
};

/// Retry budget of one instance. An instance may always spend what its own
/// requests earn and an equal share of `extra`, without coordination. Retries
/// that peers leave unused may be spent in addition, in proportion to the
/// number of peers heard. After a restart, an instance does not know how much
/// it had already spent: it starts with nothing saved and uses no unused
/// retries of peers until a whole window has passed.
struct retry_allowance {
    double earned = 0.0;          ///< Retries earned by requests.
    double from_extra = 0.0;      ///< Retries from the share of `extra`.
    base::steady_time refilled{}; ///< Last update of the share of `extra`.
    usage_window used;
    usage_window used_borrowed; ///< The borrowed retries within `used`.
    std::vector<retry_loan> borrowed;
    std::vector<retry_loan> lent;
};

/// State of the group that a decision about a retry depends on.
struct spend_terms {
    std::size_t instances = 1; ///< Upper bound of the group size.
    fleet_usage fleet;
    base::steady_time started{}; ///< Start of counting on this instance.
};

/// Records one request of the service, which earns `ratio` retries.
void earn_retries(
    retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now);

/// Consumes one retry.
/// @return false if none is left.
bool spend_retry(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now);

/// @return the usage within the last window; may exclude a part of the oldest
/// step.
retry_usage usage(
    const retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now);

} // namespace mintknot::policy

#endif
