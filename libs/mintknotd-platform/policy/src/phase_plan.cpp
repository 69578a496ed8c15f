#include <mintknot/policy/phase_plan.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace mintknot::policy {

namespace {

using traffic::engine_phase;

/// Engine time of a request in a common mix, in seconds: 3,000 tokens of
/// prompt, and some seconds in a tenth of a decode engine's memory. So many
/// requests of it stand in until others were seen. Not measured.
constexpr double common_prefill = 0.1;
constexpr double common_decode = 0.25;
constexpr double common_requests = 60.0;
/// How far from the balance the engines must be, in engines: a change costs
/// an engine for some seconds. Estimates from a tenth of the traffic once made
/// eight orders go to and fro on a day without trouble.
constexpr double tolerance = 0.6;
/// The same for more prefill engines: decode engines can read as well. Not
/// measured.
constexpr double tolerance_for_more_prefill = 1.5;
/// One of so many engines may be changing or unusable at a time. Not measured.
constexpr std::size_t engines_for_one_change = 6;
/// Services with fewer engines are left as they are: one of each phase is
/// needed.
constexpr std::size_t min_engines = 3;

const traffic::server* least_busy(
    const std::vector<planned_engine>& engines, engine_phase phase,
    const std::function<double(const traffic::server&)>& work) {
    const traffic::server* best = nullptr;
    double lowest = std::numeric_limits<double>::infinity();
    for (const planned_engine& engine : engines) {
        if (engine.phase != phase || engine.unusable)
            continue;
        const double load = work(*engine.server);
        if (load >= lowest)
            continue;
        lowest = load;
        best = engine.server;
    }
    return best;
}

} // namespace

double prefill_share(const policy::phase_demand& demand) {
    const double prefill = common_prefill * common_requests +
                           policy::prefill_seconds(demand) * demand.requests;
    const double decode =
        common_decode * common_requests + demand.decode_seconds;
    return prefill / (prefill + decode);
}

std::optional<phase_change> plan_change(
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
    if (engines.size() < min_engines ||
        unusable >=
            std::max<std::size_t>(1, engines.size() / engines_for_one_change))
        return std::nullopt;
    const double wanted = std::max(
        1.0, prefill_share(demand) * static_cast<double>(engines.size()));
    engine_phase from = engine_phase::none;
    if (readers - wanted > tolerance && readers > 1.0)
        from = engine_phase::prefill;
    else if (wanted - readers > tolerance_for_more_prefill)
        from = engine_phase::decode;
    const traffic::server* chosen = least_busy(engines, from, work);
    if (from == engine_phase::none || chosen == nullptr)
        return std::nullopt;
    return phase_change{
        chosen->id, from == engine_phase::prefill ? engine_phase::decode
                                                  : engine_phase::prefill};
}

} // namespace mintknot::policy
