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

/// Engine time of a typical request, in seconds: a prompt of 3,000 tokens, and
/// a few seconds in a tenth of the memory of a decode engine. Weighs as much as
/// typical_requests observed requests.
constexpr double typical_prefill = 0.1;
constexpr double typical_decode = 0.25;
constexpr double typical_requests = 60.0;
/// How far the number of prefill engines must be from the wanted one before any
/// changes, in engines: a change costs an engine for a few seconds. Estimates
/// from a tenth of the traffic once caused eight orders back and forth on a day
/// without faults.
constexpr double tolerance = 0.6;
/// The same before engines change to the prefill phase: decode engines can read
/// prompts as well.
constexpr double tolerance_for_more_prefill = 1.5;
/// One in so many engines may be changing or unusable at a time.
constexpr std::size_t engines_for_one_change = 6;
/// One in so many engines may be ordered to change at a time. An order takes
/// effect after seconds, and the plan is renewed by then.
constexpr std::size_t engines_for_one_order = 24;
/// The tolerances as shares of the engines, used where they are larger: an
/// estimate from a few hundred requests is off by a few percent.
constexpr double tolerance_share = 0.02;
constexpr double tolerance_share_for_more_prefill = 0.03;
/// A service is nearly idle if its requests need less than this share of its
/// engines and it has at least min_engines_when_idle engines. Smaller services
/// are balanced before their requests arrive, and bursts of many times their
/// traffic are common. The known fleet needs 0.004 of its engines.
constexpr double max_share_when_idle = 0.05;
constexpr std::size_t min_engines_when_idle = 1000;
/// Shortest time from which a rate is estimated.
constexpr base::milliseconds min_rate_time{10000};
/// Services with fewer engines are left unchanged: each phase needs one.
constexpr std::size_t min_engines = 3;

/// @return the engines of the phase that can change, those with the least work
/// first.
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

/// The engines that should leave a phase.
struct imbalance {
    /// The phase with too many engines.
    engine_phase from = engine_phase::none;
    double engines = 0.0; ///< How many too many, beyond the tolerance.
};

imbalance imbalance_of(double prefill_engines, double wanted, double engines) {
    const double decode_tolerance =
        std::max(tolerance, tolerance_share * engines);
    const double prefill_tolerance = std::max(
        tolerance_for_more_prefill, tolerance_share_for_more_prefill * engines);
    if (prefill_engines - wanted > decode_tolerance && prefill_engines > 1.0)
        return {
            engine_phase::prefill, prefill_engines - wanted - decode_tolerance};
    if (wanted - prefill_engines > prefill_tolerance)
        return {
            engine_phase::decode, wanted - prefill_engines - prefill_tolerance};
    return {};
}

/// @return how many engines may be ordered to change now.
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
/// centre keeps its share of the phase. The scheduler of a data centre places
/// there first, and a data centre with a single prefill engine out of eight
/// kept prompts waiting 380 ms where others read theirs in 110 (45 engines, six
/// data centres).
std::vector<const traffic::server*> spread_over_data_centres(
    const std::vector<const traffic::server*>& candidates,
    const std::vector<planned_engine>& engines, engine_phase phase) {
    struct data_centre_count {
        double engines = 0.0;
        double in_phase = 0.0;
        std::deque<const traffic::server*> candidates;

        double share() const { return in_phase / engines; }
    };
    std::map<std::string, data_centre_count> data_centre_counts;
    for (const planned_engine& engine : engines) {
        data_centre_count& entry =
            data_centre_counts[engine.server->data_centre];
        entry.engines += 1.0;
        entry.in_phase += engine.phase == phase ? 1.0 : 0.0;
    }
    for (const traffic::server* server : candidates)
        data_centre_counts[server->data_centre].candidates.push_back(server);
    std::vector<const traffic::server*> order;
    while (order.size() < candidates.size()) {
        data_centre_count* fullest = nullptr;
        for (auto& [data_centre, entry] : data_centre_counts)
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
    const double prefill =
        typical_prefill * typical_requests +
        policy::mean_prefill_seconds(demand) * demand.requests;
    const double decode =
        typical_decode * typical_requests + demand.decode_seconds;
    return prefill / (prefill + decode);
}

double estimated_request_rate(
    double local_requests, base::milliseconds since_start,
    std::size_t instances) {
    const std::chrono::duration<double> time =
        std::max(since_start, min_rate_time);
    return (local_requests + 1.0) / time.count() *
           static_cast<double>(instances);
}

bool is_nearly_idle(
    std::size_t engines, const policy::phase_demand& demand,
    double requests_per_s) {
    if (engines < min_engines_when_idle)
        return false;
    const double seen = std::max(demand.requests, 1.0);
    const double seconds =
        std::max(typical_prefill, policy::mean_prefill_seconds(demand)) +
        std::max(typical_decode, demand.decode_seconds / seen);
    return requests_per_s * seconds <
           max_share_when_idle * static_cast<double>(engines);
}

std::vector<phase_change> plan_phase_changes(
    const std::vector<planned_engine>& engines,
    const policy::phase_demand& demand,
    const std::function<double(const traffic::server&)>& work) {
    const auto prefill_engines = static_cast<double>(std::count_if(
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
    const imbalance off = imbalance_of(prefill_engines, wanted, count);
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
