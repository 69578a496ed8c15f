#include "fair_share_records.hpp"

#include <algorithm>

namespace mintknot::policy {

namespace {

/// The rest lets queues become shorter that are full because of a burst.
constexpr double usable_release_of_calls = 0.9;
/// Plain calls that a competitor above the fair rate may send at once: those of
/// this time, and some more.
constexpr double allowance_ms = 200.0;
constexpr double min_allowance_calls = 2.0;

/// Fills the allowance of a competitor at the fair rate.
/// @return true if the call is within it, or the competitor asks for less than
/// the fair rate.
bool fill_allowance(
    demand_record& record, const fair_rate& fair, const share_request& request,
    base::steady_time now) {
    const std::chrono::duration<double, std::milli> since =
        now - record.allowance_at;
    record.allowance_at = now;
    record.allowance = std::min(
        record.allowance + fair.limit * since.count(),
        fair.limit * allowance_ms + min_allowance_calls);
    return record.allowance >= request.cost || !record.above_fair_rate;
}

} // namespace

share_decision admit_call_by_share(
    fair_share_state& state, const share_request& request,
    const domain_capacity& capacity, base::steady_time now) {
    share_decision result;
    const double release = capacity.release_rate * request.part_of_demand;
    if (!is_short(state, request, now) || release <= 0.0)
        return result;
    const auto self = update_fair_rates(
        state, request, release * usable_release_of_calls, now);
    priority_demand& own = state.priorities.at(priority_of(request.claim));
    if (self == own.organisations.end())
        return result;
    demand_record& organisation = self->second;
    demand_record& data_centre = self->second.data_centres[request.data_centre];
    const bool organisation_over =
        !fill_allowance(organisation, own.fair, request, now);
    const bool data_centre_over =
        !fill_allowance(data_centre, self->second.fair, request, now);
    // An organisation below the fair rate may use it from any data centre.
    const bool data_centres_compete =
        organisation.above_fair_rate && self->second.data_centres.size() > 1;
    if (!organisation_over && !(data_centres_compete && data_centre_over))
        return result;
    if (asks_for_more_than(state, request, release, now))
        state.last_shortage = now;
    result.denial = capacity_denial::over_share;
    result.inputs = {
        capacity.free, request.cost,
        std::chrono::duration_cast<base::milliseconds>(
            now - state.last_shortage),
        organisation_over ? "other organisations" : "other data centres"};
    return result;
}

} // namespace mintknot::policy
