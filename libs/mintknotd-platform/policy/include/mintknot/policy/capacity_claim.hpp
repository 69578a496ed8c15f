/// @file
/// Who asks for capacity, and why capacity is denied.
///
/// A claim is part of a placement query (placement.hpp) while capacity is
/// shared (capacity_sharing.hpp), and so reaches the scheduler of a domain.
#ifndef MINTKNOT_POLICY_CAPACITY_CLAIM_HPP
#define MINTKNOT_POLICY_CAPACITY_CLAIM_HPP

#include <mintknot/base/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace mintknot::policy {

/// The caller's side of a request for capacity.
struct capacity_claim {
    /// Of the organisation if it has one, else of the route; 0 is the most
    /// urgent.
    int priority = 2;
    std::string organisation; ///< Empty: none.
    /// Until the target latency is missed; 0: it is missed already.
    base::milliseconds target_left{0};
    /// Until the caller's deadline or the route's timeout; 0: unknown.
    base::milliseconds deadline_left{0};
    /// Identifies the request across all tries of its caller; 0: unknown. Not
    /// set yet: no rule reads it, and it costs a hash of the body.
    std::uint64_t digest = 0;
    /// The caller was refused before, as far as its deadline shows.
    bool caller_retry = false;
    bool waiting = false; ///< Asked before, and waits in its instance's queue.
    /// An engine has read the prompt or may have run the request.
    bool begun = false;
};

/// Why a domain denies capacity to a request.
enum class capacity_denial {
    none,                  ///< Not denied.
    no_capacity,           ///< No server can take the request.
    late,                  ///< It would miss its target, and capacity is short.
    reserved_for_priority, ///< Kept for more urgent requests.
};

/// Capacity of the servers of one domain, in units of cost: tokens of decode
/// memory, or calls of plain servers.
struct domain_capacity {
    double total = 0.0;
    double free = 0.0;
    double release_rate = 0.0; ///< Cost released per millisecond.
};

/// @return the name of a denial in log lines and metrics.
std::string_view to_string(capacity_denial value) noexcept;

/// @return the urgency of a request for an engine, which preempts the newest of
/// the least urgent streams when it is out of memory. Engines take 0 to 9 and
/// assume 5; the values used here leave the extremes to the operator's own
/// calls.
int engine_urgency(int priority) noexcept;

} // namespace mintknot::policy

#endif
