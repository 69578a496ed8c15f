#include <mintknot/policy/phase_plan.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace mintknot::policy {

namespace {

using traffic::engine_phase;

/// Engine time of a request in a common mix, in seconds: 3,000 tokens of
/// prompt, and some seconds in a tenth of a decode engine's memory. So many
/// requests of it stand in until others were seen.
constexpr double common_prefill = 0.1;
constexpr double common_decode = 0.25;
constexpr double common_requests = 60.0;
/// How far from the balance the engines must be, in engines: a change costs
/// an engine for some seconds. Estimates from a tenth of the traffic once made
/// eight orders go to and fro on a day without trouble.
constexpr double tolerance = 0.6;
/// The same for more prefill engines: decode engines can read as well.
constexpr double tolerance_for_more_prefill = 1.5;
/// One of so many engines may be changing or unusable at a time.
constexpr std::size_t engines_for_one_change = 6;
/// One of so many engines may be ordered to change at a time. An order takes
/// effect after seconds, and what is planned is seen anew by then.
constexpr std::size_t engines_for_one_order = 24;
/// The tolerances in shares of the engines, where that is more: the estimate of
/// some hundred requests is off by a few in a hundred.
constexpr double tolerance_share = 0.02;
constexpr double tolerance_share_for_more_prefill = 0.03;
/// Share of the engines that requests may need for the service to be at rest,
/// and the engines that it must have: smaller services are balanced before
/// their requests come, and a burst of many times their traffic is common. The
/// fleet that is known needs 0.004 of its engines.
constexpr double max_share_at_rest = 0.05;
constexpr std::size_t min_engines_at_rest = 1000;
/// A rate is not told from less time than this.
constexpr base::milliseconds min_rate_time{10000};
/// Services with fewer engines are left as they are: one of each phase is
/// needed.
constexpr std::size_t min_engines = 3;

/// @return the engines of the phase that can change, those with the least to
/// do first.
std::vector<const traffic::server*> least_busy(
    const std::vector<planned_engine>& engines, engine_phase phase,
    const std::function<double(const traffic::server&)>& work) {
    std::vector<std::pair<double, const traffic::server*>> found;
    for (const planned_engine& engine : engines)
        if (engine.phase == phase && !engine.unusable)
            found.emplace_back(work(*engine.server), engine.server);
    std::stable_sort(
        found.begin(), found.end(), [](const auto& left, const auto& right) {
            return left.first < right.first;
        });
    std::vector<const traffic::server*> servers;
    for (const auto& [load, server] : found)
        servers.push_back(server);
    return servers;
}

/// How far the engines are from the balance.
struct imbalance {
    engine_phase from = engine_phase::none; ///< Of which there are too many.
    double engines = 0.0;                   ///< So many, beyond the tolerance.
};

imbalance imbalance_of(double readers, double wanted, double engines) {
    const double few = std::max(tolerance, tolerance_share * engines);
    const double more = std::max(
        tolerance_for_more_prefill, tolerance_share_for_more_prefill * engines);
    if (readers - wanted > few && readers > 1.0)
        return {engine_phase::prefill, readers - wanted - few};
    if (wanted - readers > more)
        return {engine_phase::decode, wanted - readers - more};
    return {};
}

/// @return how many of so many engines may be ordered to change now.
std::size_t spare_engines(std::size_t engines, std::size_t unusable) {
    const std::size_t changing =
        std::max<std::size_t>(1, engines / engines_for_one_change);
    if (unusable >= changing)
        return 0;
    const std::size_t at_once =
        std::max<std::size_t>(1, engines / engines_for_one_order);
    return std::min(at_once, changing - unusable);
}

/// @return servers in the order in which they are to change, so that each data
/// centre keeps its share of the phase: the scheduler of a data centre places
/// there first, and one that had a single prefill engine for eight kept prompts
/// waiting 380 ms where others read theirs in 110 (45 engines, six data
/// centres).
/// @param candidates those with the least to do first.
std::vector<const traffic::server*> spread_over_data_centres(
    const std::vector<const traffic::server*>& candidates,
    const std::vector<planned_engine>& engines, engine_phase phase) {
    struct tally {
        double engines = 0.0;
        double in_phase = 0.0;
        std::deque<const traffic::server*> candidates;

        double share() const { return in_phase / engines; }
    };
    std::map<std::string, tally> tallies;
    for (const planned_engine& engine : engines) {
        tally& entry = tallies[engine.server->data_centre];
        entry.engines += 1.0;
        entry.in_phase += engine.phase == phase ? 1.0 : 0.0;
    }
    for (const traffic::server* server : candidates)
        tallies[server->data_centre].candidates.push_back(server);
    std::vector<const traffic::server*> order;
    while (order.size() < candidates.size()) {
        tally* fullest = nullptr;
        for (auto& [data_centre, entry] : tallies)
            if (!entry.candidates.empty() &&
                (fullest == nullptr || entry.share() > fullest->share()))
                fullest = &entry;
        order.push_back(fullest->candidates.front());
        fullest->candidates.pop_front();
        fullest->in_phase -= 1.0;
    }
    return order;
}

} // namespace

double prefill_share(const policy::phase_demand& demand) {
    const double prefill = common_prefill * common_requests +
                           policy::prefill_seconds(demand) * demand.requests;
    const double decode =
        common_decode * common_requests + demand.decode_seconds;
    return prefill / (prefill + decode);
}

double estimated_request_rate(
    double seen_here, base::milliseconds since_start, std::size_t instances) {
    const std::chrono::duration<double> time =
        std::max(since_start, min_rate_time);
    return (seen_here + 1.0) / time.count() * static_cast<double>(instances);
}

bool is_at_rest(
    std::size_t engines, const policy::phase_demand& demand,
    double requests_per_s) {
    if (engines < min_engines_at_rest)
        return false;
    const double seen = std::max(demand.requests, 1.0);
    const double seconds =
        std::max(common_prefill, policy::prefill_seconds(demand)) +
        std::max(common_decode, demand.decode_seconds / seen);
    return requests_per_s * seconds <
           max_share_at_rest * static_cast<double>(engines);
}

std::vector<phase_change> plan_changes(
    const std::vector<planned_engine>& engines,
    const policy::phase_demand& demand,
    const std::function<double(const traffic::server&)>& work) {
    const auto readers = static_cast<double>(std::count_if(
        engines.begin(), engines.end(), [](const planned_engine& engine) {
            return engine.phase == engine_phase::prefill;
        }));
    const auto unusable = static_cast<std::size_t>(std::count_if(
        engines.begin(), engines.end(),
        [](const planned_engine& engine) { return engine.unusable; }));
    if (engines.size() < min_engines)
        return {};
    const auto count = static_cast<double>(engines.size());
    const double wanted = std::max(1.0, prefill_share(demand) * count);
    const imbalance off = imbalance_of(readers, wanted, count);
    const auto due = static_cast<std::size_t>(std::ceil(off.engines));
    const std::size_t most =
        std::min(due, spare_engines(engines.size(), unusable));
    const engine_phase to = off.from == engine_phase::prefill
                                ? engine_phase::decode
                                : engine_phase::prefill;
    std::vector<phase_change> changes;
    if (most == 0)
        return changes;
    for (const traffic::server* engine : spread_over_data_centres(
             least_busy(engines, off.from, work), engines, off.from))
        if (changes.size() < most)
            changes.push_back({engine->id, to});
    return changes;
}

} // namespace mintknot::policy
