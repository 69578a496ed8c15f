/// @file
/// How many engines of a service run the prefill phase and how many the decode
/// phase.
///
/// Inputs: the engines' rows in the server table, phase changes in progress,
/// and the demand known to this instance. Without this the net benefit fell by
/// 0.044, 0.019 and 0.050 (ten simulated runs or more each on three
/// deployments), because decode memory is the bottleneck on busy days. Log
/// events: `lease`, `order`.
#ifndef MINTKNOT_POLICY_PHASE_PLAN_HPP
#define MINTKNOT_POLICY_PHASE_PLAN_HPP

#include <mintknot/policy/phase_demand.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mintknot::policy {

/// An engine that is to change its phase.
struct phase_change {
    std::string server_id;
    traffic::engine_phase to = traffic::engine_phase::none;
};

/// An engine with the phase that it has once all orders in progress have been
/// carried out.
struct planned_engine {
    const traffic::server* server = nullptr;
    traffic::engine_phase phase = traffic::engine_phase::none;
    bool unusable = false; ///< It is already changing, or is avoided.
};

/// @return the share of engines that should run the prefill phase: prefill's
/// share of the engine time of a request. The demand of typical requests is
/// assumed until enough has been observed.
double prefill_share(const policy::phase_demand& demand);

/// @return an estimate of the requests per second of all instances together,
/// which tends to be too high.
/// @param local_requests requests of this instance since its start.
/// @param instances that share the traffic. With more of them, differences
/// between their traffic even out.
double estimated_request_rate(
    double local_requests, base::milliseconds since_start,
    std::size_t instances);

/// @return true while requests need so few of a very large number of engines
/// that any split between phases serves them. A phase change then only takes an
/// engine out of service for seconds: 9,623 engines got 848 and 1,626 orders on
/// a day whose requests needed 35 of them.
bool is_nearly_idle(
    std::size_t engines, const policy::phase_demand& demand,
    double requests_per_s);

/// @return the next phase changes towards the wanted split, all of which may be
/// ordered at once: one for a small service; none if the split is close enough,
/// or if as many engines are already changing as can be spared. With one change
/// at a time, 256 engines got 30 orders in 48 s, one every 1.4 s, and a burst
/// of requests came before the split was reached.
/// @param engines all that accept requests.
/// @param work in flight at an engine; the engine with the least work changes
/// first.
std::vector<phase_change> plan_phase_changes(
    const std::vector<planned_engine>& engines,
    const policy::phase_demand& demand,
    const std::function<double(const traffic::server&)>& work);

} // namespace mintknot::policy

#endif
