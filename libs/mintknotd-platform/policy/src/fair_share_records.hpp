/// @file
/// Records of who asked for capacity of a domain and who got it.
#ifndef MINTKNOT_POLICY_FAIR_SHARE_RECORDS_HPP
#define MINTKNOT_POLICY_FAIR_SHARE_RECORDS_HPP

#include <mintknot/policy/fair_share.hpp>

#include <algorithm>
#include <limits>
#include <string>

namespace mintknot::policy {

/// Mean requests by which a counter may be ahead of others.
inline constexpr double quantum_requests = 2.0;

/// @return what a competitor asks for, in cost per millisecond.
double asked_rate(
    const demand_record& record, const share_request& request,
    base::steady_time now);

/// How long a fair rate is used. Calculating it takes time in proportion to the
/// number of competitors.
inline constexpr base::milliseconds fair_rate_lifetime{100};

/// Calculates the fair rate of competitors that share a rate.
template<typename records>
void update(
    fair_rate& fair, records& all, const share_request& request, double shared,
    base::steady_time now) {
    if (now - fair.at < fair_rate_lifetime)
        return;
    fair = {shared, 0.0, now};
    // Each pass finds more competitors below the limit; few passes suffice.
    constexpr int passes = 4;
    for (int pass = 0; pass < passes; ++pass) {
        double below = 0.0;
        int above = 0;
        const double limit =
            pass == 0
                ? shared /
                      static_cast<double>(std::max<std::size_t>(all.size(), 1))
                : fair.limit;
        for (auto& [name, record] : all) {
            const double asked = asked_rate(record, request, now);
            record.above_fair_rate = asked > limit;
            below += record.above_fair_rate ? 0.0 : asked;
            above += record.above_fair_rate ? 1 : 0;
        }
        fair.below_limit = below;
        fair.limit =
            above == 0 ? shared : std::max(0.0, shared - below) / above;
    }
}

std::size_t priority_of(const capacity_claim& claim);

bool is_short(
    const fair_share_state& state, const share_request& request,
    base::steady_time now);

/// @return the counter of a competitor; 0 if it got nothing in this shortage.
double counter_of(const fair_share_state& state, const demand_record& record);

/// @return the record of an organisation, or the one that organisations beyond
/// the bound share.
std::map<std::string, organisation_demand>::iterator find_organisation(
    std::map<std::string, organisation_demand>& organisations,
    const std::string& name);

/// @return the lowest counter of those who compete, without the given one; 0 if
/// there are none.
template<typename records>
double lowest_counter(
    const fair_share_state& state, const records& all, const std::string& own,
    base::steady_time now) {
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& [name, record] : all)
        if (name != own && competes(record, now))
            lowest = std::min(lowest, counter_of(state, record));
    return lowest == std::numeric_limits<double>::infinity() ? 0.0 : lowest;
}

/// @return the counter of a competitor now: one that was idle is raised to the
/// lowest of those who compete, so that idle time earns no capacity.
template<typename records>
double counter_at(
    const fair_share_state& state, const records& all, const std::string& own,
    base::steady_time now) {
    const auto found = all.find(own);
    const double counter =
        found == all.end() ? 0.0 : counter_of(state, found->second);
    if (found != all.end() && competes(found->second, now))
        return counter;
    return std::max(counter, lowest_counter(state, all, own, now));
}

/// Updates the fair rates of a request's organisations and data centres.
/// @return its organisation, or the end if it has not asked yet.
std::map<std::string, organisation_demand>::iterator update_fair_rates(
    fair_share_state& state, const share_request& request, double release,
    base::steady_time now);

/// @return true if all priorities together ask for more than that rate.
/// Capacity is then short even if holding some to their share keeps the queues
/// short.
bool asks_for_more_than(
    const fair_share_state& state, const share_request& request, double rate,
    base::steady_time now);

} // namespace mintknot::policy

#endif
