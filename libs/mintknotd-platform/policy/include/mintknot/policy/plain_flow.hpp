/// @file
/// How many calls a plain server takes, by the calls that it has rejected.
///
/// The length of a server's queue is not known. A server that rejects calls as
/// full shows that it is shorter than assumed.
#ifndef MINTKNOT_POLICY_PLAIN_FLOW_HPP
#define MINTKNOT_POLICY_PLAIN_FLOW_HPP

#include <mintknot/base/time.hpp>

#include <cstdint>
#include <optional>

namespace mintknot::policy {

/// The calls that were placed at one server. Lost with its process.
struct plain_flow {
    /// Most calls in flight after a placement, in two intervals: the current
    /// one and the one before.
    int held = 0;
    int held_before = 0;
    base::steady_time held_since{};
    /// Most calls in flight that the server takes, at `limited_at`; nullopt: it
    /// has rejected none.
    std::optional<int> limit;
    base::steady_time limited_at{};
    /// Rejections of the server that `limit` accounts for.
    std::uint64_t rejections_seen = 0;
};

/// Records that a call was placed. @param in_flight calls with this one.
void note_placed(plain_flow& flow, int in_flight, base::steady_time now);

/// Lowers the limit if the server has rejected calls since the last time. It
/// falls below what the server has held within the time in which a rejection
/// is reported, and by one more with each report. It does not fall to what the
/// server holds when the report arrives: at twice the capacity such limits left
/// slots free, and 0.91 of the possible was served in time (986 instances,
/// servers of unequal speed). A server that rejects with free slots is paused
/// instead (server_health.hpp).
/// @param rejections of the server until now.
void note_rejections(
    plain_flow& flow, std::uint64_t rejections, int slots,
    base::steady_time now);

/// @return the most calls in flight that the server takes; it grows by one for
/// each second without a rejection, and ends after a minute.
std::optional<int> limit_of(const plain_flow& flow, base::steady_time now);

} // namespace mintknot::policy

#endif
