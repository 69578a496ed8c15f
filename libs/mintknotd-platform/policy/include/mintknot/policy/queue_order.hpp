/// @file
/// In which order requests that wait get room.
#ifndef MINTKNOT_POLICY_QUEUE_ORDER_HPP
#define MINTKNOT_POLICY_QUEUE_ORDER_HPP

#include <mintknot/base/time.hpp>

#include <compare>

namespace mintknot::policy {

/// Who goes first: whoever can still meet its target, then the more urgent
/// route, then the earlier arrival. Switched off, worth did not change beyond
/// chance (0.007 or less); it is what carries the priorities of routes.
struct queue_rank {
    bool late = false; ///< An answer in time is no longer expected.
    int priority = 0;  ///< Of the route, 0 is the highest.
    base::steady_time arrived{};

    auto operator<=>(const queue_rank&) const = default;
};

/// Of the tokens that requests at other instances wait for, the part that is
/// expected to be given out before those of a request here: as many have come
/// before it as after it. Left out, requests that were refused in the end were
/// held for 1.0 to 2.7 ms longer on average (ten plays or more each on three
/// deployments).
inline constexpr double elsewhere_share_ahead = 0.5;

} // namespace mintknot::policy

#endif
