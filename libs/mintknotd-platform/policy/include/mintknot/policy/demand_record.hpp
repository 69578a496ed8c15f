/// @file
/// Recent demand of one competitor for the capacity of a domain: a priority, an
/// organisation or a data centre.
///
/// Costs are in the unit of domain_capacity. A request counts as demand once,
/// however often it asks.
#ifndef MINTKNOT_POLICY_DEMAND_RECORD_HPP
#define MINTKNOT_POLICY_DEMAND_RECORD_HPP

#include <mintknot/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace mintknot::policy {

/// Time over which demand and service are averaged.
inline constexpr base::milliseconds demand_window{2000};
/// The same where each instance decides on its own requests, which are few.
inline constexpr base::milliseconds long_demand_window{10000};
inline constexpr std::size_t demand_slots = 8;

/// Cost within a sliding window.
struct recent_cost {
    base::milliseconds window = demand_window;
    std::array<double, demand_slots> slots{};
    std::int64_t newest = 0; ///< Number of the newest slot since the epoch.
};

void add(recent_cost& recent, double cost, base::steady_time now);
double sum(const recent_cost& recent, base::steady_time now);
/// @return the mean cost per millisecond.
double rate(const recent_cost& recent, base::steady_time now);

/// What one competitor has asked for, got and still waits for.
struct demand_record {
    recent_cost asked;
    recent_cost asked_long{long_demand_window};
    recent_cost served;
    /// Cost of requests that were denied capacity and are expected to wait.
    /// Read it with waiting_cost().
    double waiting = 0.0;
    base::steady_time waiting_at{}; ///< When `waiting` was last updated.
    /// The largest request that was denied recently. Read it with
    /// largest_waiting().
    double largest = 0.0;
    base::steady_time largest_at{}; ///< When that request last asked.
    base::steady_time last_denied{};
    base::steady_time last_asked{};
    /// Asked for more than the fair rate when that was last calculated.
    bool above_fair_rate = false;
    /// Cost of plain calls that may be sent now, filled at the fair rate.
    double allowance = 0.0;
    base::steady_time allowance_at{}; ///< When it was last filled.
    /// Cost that a priority lacks of its minimum share.
    double owed = 0.0;
    /// Cost served since the shortage with the number `shortage` began, as in
    /// fair queueing.
    double counter = 0.0;
    std::uint64_t shortage = 0;
};

/// @return the cost of requests that wait; 0 if none has been denied for longer
/// than the time after which a waiting request asks again.
double waiting_cost(const demand_record& record, base::steady_time now);

/// @return the cost of the largest request that waits, as above.
double largest_waiting(const demand_record& record, base::steady_time now);

/// Records a request that asks for the first time.
void note_asked(demand_record& record, double cost, base::steady_time now);
/// Records that a request was placed. @param waited it asked before.
void note_served(
    demand_record& record, double cost, bool waited, base::steady_time now);
/// Records a denial. @param waits the request is expected to wait.
/// @param waited it asked before.
void note_denied(
    demand_record& record, double cost, bool waits, bool waited,
    base::steady_time now);

/// @return true if the competitor was denied capacity recently.
bool competes(const demand_record& record, base::steady_time now);

/// How long a denial counts as a sign that capacity is short.
inline constexpr base::milliseconds shortage_time{500};

} // namespace mintknot::policy

#endif
