/// @file
/// Sharing of scarce capacity by priority, organisation and data centre.
///
/// Capacity is short if a request of the domain found none within the last
/// 500 ms; otherwise each request is admitted. While it is short, a request
/// leaves free what those who go before it are expected to take or wait for:
/// more urgent priorities first, within a priority the organisations that were
/// served less, within an organisation the data centres that were served less.
/// So one competitor always goes first, and what is left unused is at most what
/// others wait for. Inputs: claims and the free capacity of the domain. Log
/// event: `no_room` with `denial`.
#ifndef MINTKNOT_POLICY_FAIR_SHARE_HPP
#define MINTKNOT_POLICY_FAIR_SHARE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/capacity_claim.hpp>
#include <mintknot/policy/demand_record.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace mintknot::policy {

/// Capacity of the servers of one domain, in units of cost: tokens of decode
/// memory, or calls of plain servers.
struct domain_capacity {
    double total = 0.0;
    /// Free, in whole requests of the query's cost that fit on a server.
    double free = 0.0;
    double release_rate = 0.0; ///< Cost released per millisecond.
    /// The engine with the most free memory; empty: there is none.
    std::string emptiest{};
    double largest_free = 0.0; ///< Its free memory.
};

/// A request for a share of a domain's capacity.
struct share_request {
    const capacity_claim& claim;
    std::string data_centre; ///< Of the instance that asks.
    double cost = 0.0;
    /// Share of the domain's requests that are decided here: 1 at a scheduler,
    /// 1 / instances where each instance decides on its own requests.
    double part_of_demand = 1.0;
};

/// Priorities that are told apart; less urgent ones count as the last.
inline constexpr std::size_t max_priorities = 10;
/// Bound of the counters of organisations in one domain. Further organisations
/// share one counter.
inline constexpr std::size_t max_organisations = 1024;
/// Least share of what is served that each priority keeps while it asks for it.
inline constexpr double min_priority_share = 0.1;

/// The max-min fair rate of competitors: those who ask for less get all, and
/// the others this much each.
struct fair_rate {
    double limit = 0.0;       ///< In cost per millisecond.
    double below_limit = 0.0; ///< What those ask for together who ask for less.
    base::steady_time at{};   ///< When it was calculated.
};

struct organisation_demand : demand_record {
    std::map<std::string, demand_record> data_centres;
    fair_rate fair; ///< Of the data centres.
};

struct priority_demand : demand_record {
    std::map<std::string, organisation_demand> organisations;
    fair_rate fair; ///< Of the organisations.
};

/// Who has asked for capacity of a domain recently, and who got it.
struct fair_share_state {
    std::array<priority_demand, max_priorities> priorities;
    recent_cost served;
    double mean_cost = 0.0; ///< Of recent requests.
    /// When a request last found no capacity.
    base::steady_time last_shortage{};
    std::uint64_t shortage = 0; ///< Number of the current or last shortage.
    std::size_t counters = 0;   ///< Of organisations, over all priorities.
    base::steady_time last_eviction{};
    /// When callers that were refused before asked last, by digest.
    std::map<std::uint64_t, base::steady_time> returns;
};

/// The decision for one request.
struct share_decision {
    capacity_denial denial = capacity_denial::none;
    denial_inputs inputs;
    /// A server that is left to requests that go first; empty: none.
    std::string set_aside;
    /// Until capacity is expected to be free behind those who go first; 0 while
    /// capacity is not short.
    base::milliseconds expected_wait{0};
};

/// Records that a request asks for capacity. A waiting request, or a caller
/// that returns within the demand window, is not counted again.
void note_asked(
    fair_share_state& state, const share_request& request,
    base::steady_time now);

/// Decides whether a request may take capacity now. A request that does not fit
/// is not denied here.
share_decision admit_by_share(
    fair_share_state& state, const share_request& request,
    const domain_capacity& capacity, base::steady_time now);

/// The same for a plain call, by organisation and data centre only. Plain calls
/// do not wait, so a competitor that asks for more than the fair rate is held
/// to that rate. Priorities are part of plain_admission.hpp.
share_decision admit_call_by_share(
    fair_share_state& state, const share_request& request,
    const domain_capacity& capacity, base::steady_time now);

/// Records that a request was placed.
void note_served(
    fair_share_state& state, const share_request& request,
    base::steady_time now);

/// Records that a request was denied capacity. Only a request that found none
/// shows that capacity is short, not one that yielded to others.
/// @param expected_wait if it exceeds the request's target, the request is
/// assumed to be refused; otherwise to wait.
void note_denied(
    fair_share_state& state, const share_request& request,
    capacity_denial denial, base::milliseconds expected_wait,
    base::steady_time now);

} // namespace mintknot::policy

#endif
