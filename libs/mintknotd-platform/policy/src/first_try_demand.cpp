#include <mintknot/policy/first_try_demand.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace mintknot::policy {

namespace {

/// First tries are expected to ask for the mean of the quietest of the last ten
/// seconds, so that a burst of up to four seconds, which has ended when its
/// callers return, does not count.
constexpr std::size_t quiet_seconds = 6;
/// Expected difference between the mean of ten Poisson draws and that of the
/// six lowest, in standard deviations.
constexpr double quiet_bias = 0.64;

std::int64_t second_of(base::steady_time now) {
    return std::chrono::duration_cast<std::chrono::seconds>(
               now.time_since_epoch())
        .count();
}

std::size_t index_of(std::int64_t second) {
    return static_cast<std::size_t>(second) % first_try_demand::seconds;
}

void advance(first_try_demand& demand, base::steady_time now) {
    const std::int64_t current = second_of(now);
    const auto ring = static_cast<std::int64_t>(first_try_demand::seconds);
    if (demand.begun == 0 || current - demand.last >= ring) {
        demand.cost.fill(0.0);
        if (demand.begun == 0)
            demand.begun = current;
    } else {
        for (std::int64_t second = demand.last + 1; second <= current; ++second)
            demand.cost[index_of(second)] = 0.0;
    }
    demand.last = std::max(demand.last, current);
}

/// @return the cost of first tries in each whole second on record, the latest
/// first.
std::vector<double>
whole_seconds(first_try_demand& demand, base::steady_time now) {
    advance(demand, now);
    const auto ring = static_cast<std::int64_t>(first_try_demand::seconds);
    const std::int64_t first =
        std::max(demand.begun + 1, demand.last - ring + 1);
    std::vector<double> whole;
    for (std::int64_t second = demand.last - 1; second >= first; --second)
        whole.push_back(demand.cost[index_of(second)]);
    return whole;
}

} // namespace

void note_first_try(
    first_try_demand& demand, double cost, base::steady_time now) {
    advance(demand, now);
    demand.cost[index_of(second_of(now))] += cost;
}

double expected_first_tries(
    first_try_demand& demand, double cost, base::steady_time now) {
    std::vector<double> whole = whole_seconds(demand, now);
    if (whole.empty())
        return HUGE_VAL;
    std::sort(whole.begin(), whole.end());
    whole.resize(std::min(whole.size(), quiet_seconds));
    const double quiet = std::accumulate(whole.begin(), whole.end(), 0.0) /
                         static_cast<double>(whole.size());
    return (quiet + quiet_bias * std::sqrt(quiet * cost)) / 1000.0;
}

} // namespace mintknot::policy
