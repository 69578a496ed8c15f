/// @file
/// How many repeated sends an instance may make for a service.
///
/// Guards the bound that the users set for all instances together. Two rules,
/// by the size of the group (policy/group.hpp):
///
/// - Small groups: an instance spends its own part, and of what peers leave as
///   much as their last heartbeats show, some 60 ms ago. Against own parts
///   alone this changed worth by 0.016 at most (ten plays or more each on three
///   deployments); it matters where one instance meets the trouble.
/// - Large groups (retry_quota.hpp): heartbeats are up to several seconds old
///   there, and all instances together would spend the same remainder in the
///   meantime. Only the own part is spent, and what a peer has lent.
///
/// Metrics: `mintknot_repeats_total`, `mintknot_repeats_lent`,
/// `mintknot_repeats_borrowed`; refusals that it causes have the reason
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

/// The bound that all instances together must keep: within any window, at
/// most `ratio` repeats for each request, and `extra` on top.
struct retry_bounds {
    double ratio = 0.2;
    double extra = 20.0;
    base::milliseconds window{10000};

    bool operator==(const retry_bounds&) const = default;
};

/// Requests and repeats of one service within the last window.
struct retry_usage {
    std::int64_t requests = 0;
    std::int64_t retries = 0;
};

/// Usage by service.
using usage_map = std::unordered_map<std::string, retry_usage>;

/// What others have used within the last window, as far as they have told.
struct fleet_usage {
    retry_usage peers;     ///< Those that have gone meanwhile included.
    std::size_t heard = 0; ///< Peers that are heard at present.
};

/// Counts over a sliding window, in steps of a tenth of it.
struct usage_window {
    static constexpr std::size_t steps_in_window = 10;
    /// One more than the window has: the newest step is not over yet, so that
    /// a whole window reaches into this many.
    static constexpr std::size_t steps = steps_in_window + 1;
    std::array<retry_usage, steps> counts{};
    std::int64_t newest_step = 0;
};

/// Repeats that one instance has lent to another.
struct retry_loan {
    int retries = 0;
    base::steady_time until{}; ///< Counts, or may be spent, up to then.
};

/// One instance's part of the bound. It needs no coordination: an instance
/// may always spend what its own requests earn and an equal part of the
/// extra. What peers leave unused may be spent on top, in proportion to how
/// many of them are heard. An instance that has just started does not know
/// what its earlier life has spent: it begins with nothing saved, and leaves
/// alone what peers leave until a whole window has passed.
struct retry_allowance {
    double earned = 0.0;     ///< From requests.
    double from_extra = 0.0; ///< From the part of the extra.
    base::steady_time refilled{};
    usage_window used;
    usage_window used_borrowed; ///< The part of `used` that peers had lent.
    std::vector<retry_loan> borrowed;
    std::vector<retry_loan> lent;
};

/// What a decision about a repeat looks at beside the own allowance.
struct spend_terms {
    std::size_t instances = 1; ///< How many there may be at most.
    fleet_usage fleet;
    base::steady_time started{}; ///< When this instance began to count.
};

/// Adds one request of the service.
void earn_retries(
    retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now);

/// Takes one repeat. @return false if there is none left.
bool spend_retry(
    retry_allowance& allowance, const retry_bounds& bounds,
    const spend_terms& terms, base::steady_time now);

/// @return what was used within the last window; its oldest step may be cut
/// short.
retry_usage usage(
    const retry_allowance& allowance, const retry_bounds& bounds,
    base::steady_time now);

} // namespace mintknot::policy

#endif
