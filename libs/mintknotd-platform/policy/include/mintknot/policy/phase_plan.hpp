/// @file
/// How many engines of a service read prompts, and how many decode.
///
/// Inputs: the engines' rows, orders under way, demand seen by this instance.
/// Switched off, worth fell by 0.044, 0.019 and 0.050 (ten plays or more each
/// on three deployments): decode memory is what binds on busy days. Log events:
/// `lease`, `order`.
#ifndef MINTKNOT_POLICY_PHASE_PLAN_HPP
#define MINTKNOT_POLICY_PHASE_PLAN_HPP

#include <mintknot/policy/phase_demand.hpp>
#include <mintknot/traffic/server_table.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mintknot::policy {

/// One engine is to do something else from now on.
struct phase_change {
    std::string server_id;
    traffic::engine_phase to = traffic::engine_phase::none;
};

/// An engine as it will be once all orders under way have been carried out.
struct planned_engine {
    const traffic::server* server = nullptr;
    traffic::engine_phase phase = traffic::engine_phase::none;
    bool unusable = false; ///< It is changing already, or to be avoided.
};

/// @return the share of engines that should read prompts: their part of the
/// engine time that a request takes. Some requests of a common mix
/// stands in until enough has been observed.
double prefill_share(const policy::phase_demand& demand);

/// @param seen_here requests of this instance since its start.
/// @param instances that share the traffic; their number evens out how uneven
/// it is. @return the requests of all of them in a second, rather too many.
double estimated_request_rate(
    double seen_here, base::milliseconds since_start, std::size_t instances);

/// @return true while the requests need so few of very many engines that any
/// split serves them: each order would only take an engine away for seconds.
/// 9,623 engines got 848 and 1,626 orders on a day whose requests need 35 of
/// them.
bool is_at_rest(
    std::size_t engines, const policy::phase_demand& demand,
    double requests_per_s);

/// @param engines all that take requests.
/// @param work what is in flight at an engine; of those that could change,
/// the one with the least does.
/// @return the next changes towards the balance, which may all be ordered at
/// once: one of a small service; none if the engines are near the balance, or
/// as many are changing already as can be spared. With one change at a time 256
/// engines got 30 orders in 48 s, one each 1.4 s, and a burst came before the
/// balance.
std::vector<phase_change> plan_changes(
    const std::vector<planned_engine>& engines,
    const policy::phase_demand& demand,
    const std::function<double(const traffic::server&)>& work);

} // namespace mintknot::policy

#endif
