/// @file
/// The part of the servers' time that is left to more urgent plain calls.
///
/// Input: the demand of each priority over the last 2 s, served or not. A less
/// urgent priority that asks keeps at least 0.1 of the servers' time, also
/// where more urgent calls alone would take all of it.
#ifndef MINTKNOT_POLICY_PRIORITY_RESERVE_HPP
#define MINTKNOT_POLICY_PRIORITY_RESERVE_HPP

#include <mintknot/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace mintknot::policy {

/// Calls of one priority in the last two seconds, in parts of 250 ms.
struct priority_demand {
    static constexpr std::size_t parts = 8;
    std::array<int, parts> calls{};
    std::array<int, parts> first_tries{}; ///< Of these calls.
    std::int64_t newest = 0;              ///< Number of the newest part.
    /// Calls that may use the whole of the servers' queues in spite of more
    /// urgent demand.
    double guaranteed = 0.0;
    base::steady_time refilled_at{};
};

/// The demand on the plain servers of a domain; less urgent priorities than the
/// last one count as it.
struct priority_reserve {
    static constexpr std::size_t priorities = 16;
    std::array<priority_demand, priorities> by_priority;
};

/// @return the index of a priority in arrays by priority.
std::size_t priority_index(int priority) noexcept;

/// Records a call, before it is decided on.
/// @param first_try the call was not refused or rejected before, as far as that
/// is known.
void note_demand(
    priority_reserve& reserve, int priority, bool first_try,
    base::steady_time now);

/// @return the calls per millisecond of all more urgent priorities.
double more_urgent_demand(
    const priority_reserve& reserve, int priority, base::steady_time now);

/// @return true if first tries of calls of that priority, and more urgent ones,
/// have recently asked for more than the servers complete, and not by chance.
/// Callers who return after refusals are not counted, so that refusals do not
/// show a shortage that causes further ones.
/// @param release_rate calls per millisecond that the servers complete.
bool exceeds_capacity(
    const priority_reserve& reserve, int priority, double release_rate,
    base::steady_time now);

/// @return the share of the servers' time, in [0, 0.9], that calls of that
/// priority leave to more urgent ones now.
/// @param demand more_urgent_demand(), which is not 0.
/// @param release_rate calls per millisecond that the servers complete.
double reserved_share(
    priority_reserve& reserve, int priority, double demand, double release_rate,
    base::steady_time now);

/// Records that a call of that priority was placed.
void note_placed(priority_reserve& reserve, int priority);

} // namespace mintknot::policy

#endif
