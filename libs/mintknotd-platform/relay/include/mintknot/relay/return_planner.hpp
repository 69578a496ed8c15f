/// @file
/// Plans when a caller that is refused for lack of capacity may return, here or
/// on another instance. The rule is in policy/return_schedule.hpp.
#ifndef MINTKNOT_RELAY_RETURN_PLANNER_HPP
#define MINTKNOT_RELAY_RETURN_PLANNER_HPP

#include <mintknot/policy/capacity_forecast.hpp>
#include <mintknot/policy/return_schedule.hpp>
#include <mintknot/relay/ticket.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mintknot::relay {

struct router_context;

/// A refused request whose caller's return is to be planned.
struct refused_request {
    std::string service;
    policy::capacity_claim claim;
    double cost = 0.0;
    base::milliseconds earliest{0}; ///< No capacity is expected before.
};

/// When the caller of a refused request may return.
struct planned_return {
    policy::return_decision decision;
    std::string planned_by; ///< Host of the scheduler; empty: this instance.
};

using return_handler = std::function<void(const planned_return&)>;

/// Asks the scheduler that places the requests of the own data centre.
class return_planner {
public:
    virtual ~return_planner() = default;

    /// @return true if requests are currently placed by schedulers; otherwise
    /// the instance plans the returns of its own callers.
    virtual bool active() const = 0;

    /// Requests a return time. `then` is called once, but not before this
    /// returns and not after the ticket is destroyed. Its decision is
    /// `unknown` if no scheduler has answered in time.
    virtual std::unique_ptr<ticket>
    request_return(refused_request refused, return_handler then) = 0;
};

/// Plans a return in this instance and logs it.
/// @param data_centre of the domain; empty if the service has one domain.
/// @param is_scheduler whether this instance schedules the domain; otherwise it
/// plans for its own callers only.
policy::return_decision plan_return_here(
    router_context& context, const std::string& data_centre, bool is_scheduler,
    const refused_request& refused);

/// @return the Retry-After that a refusal has for callers that do not get a
/// planned return: the rule of each instance alone (policy/retry_after.hpp),
/// within what callers obey.
base::milliseconds unplanned_return(
    router_context& context, const refused_request& refused,
    const policy::capacity_forecast& forecast);

/// Sets the gauges of the promises of this instance's schedules.
void observe_returns(router_context& context);

} // namespace mintknot::relay

#endif
