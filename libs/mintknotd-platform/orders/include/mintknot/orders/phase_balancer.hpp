/// @file
/// Keeps the number of prefill and decode engines in balance.
#ifndef MINTKNOT_ORDERS_PHASE_BALANCER_HPP
#define MINTKNOT_ORDERS_PHASE_BALANCER_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/policy/lease.hpp>
#include <mintknot/policy/phase_plan.hpp>
#include <mintknot/relay/router_state.hpp>
#include <mintknot/state/store.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mintknot::orders {

/// Settings of the balancer.
struct balancer_options {
    std::string holder; ///< Names this run of this instance.
    policy::lease_terms terms;
    base::milliseconds period{500};
    /// After the orders of a plan, until the next one for the service.
    base::milliseconds pause{1200};
    /// How long an engine that changes its phase is not used, at most.
    base::milliseconds change_time{9000};
    /// Time for peers to stop using an engine before it is ordered.
    base::milliseconds notice{150};
};

/// Looks at each model service now and then and gives the orders of one plan
/// together, under a lease in the store and with the lease row's version as the
/// fence. Orders are absolute, name the engine and the number of orders that
/// it has taken, so that a late one does nothing.
class phase_balancer {
public:
    /// @param responsible whether this instance is the one to look after
    /// orders; two that believe it compete for the lease.
    phase_balancer(
        relay::router_context& context, state::store& store,
        balancer_options options, std::function<bool()> responsible);
    ~phase_balancer();
    phase_balancer(const phase_balancer&) = delete;
    phase_balancer& operator=(const phase_balancer&) = delete;

    void start();
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::orders

#endif
