/// @file
/// The orders of one plan: each engine is asked for its report, then ordered.
#ifndef MINTKNOT_ORDERS_ORDER_BATCH_HPP
#define MINTKNOT_ORDERS_ORDER_BATCH_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/policy/phase_plan.hpp>
#include <mintknot/relay/router_state.hpp>
#include <mintknot/upstream/call.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mintknot::orders {

/// Under which lease the orders are given.
struct batch_terms {
    std::string service;
    std::string holder;
    std::uint64_t fence = 0;
    /// @return true while the lease still allows an order.
    std::function<bool()> may_order;
};

/// What has become of all orders together.
struct batch_result {
    bool refused = false;    ///< An engine has refused, or has not answered.
    bool fenced_off = false; ///< An engine has seen a higher fence.
};

/// Whom the batch tells.
struct batch_handlers {
    /// Called before an order goes out.
    std::function<void(const policy::phase_change&)> on_order;
    /// Called once, after the last order. Must not destroy the batch.
    std::function<void(const batch_result&)> on_end;
};

/// An engine that is gone, busy, has the phase already or says nothing to the
/// question is left out. Lives on the loop's thread; the router outlives it.
class order_batch {
public:
    order_batch(
        relay::router_context& router, batch_terms terms,
        batch_handlers handlers);
    ~order_batch();
    order_batch(const order_batch&) = delete;
    order_batch& operator=(const order_batch&) = delete;

    void begin(const std::vector<policy::phase_change>& changes);

private:
    struct engine_order;

    void ask_report(engine_order& order);
    void on_report(engine_order& order);
    void send(engine_order& order, std::int64_t orders_taken);
    void on_ordered(engine_order& order);
    void end(engine_order& order);
    /// `then` is called once, also without an answer.
    void call(
        engine_order& order, relay::own_call request,
        std::function<void()> then);

    relay::router_context& router_;
    batch_terms terms_;
    batch_handlers handlers_;
    batch_result result_;
    std::vector<std::unique_ptr<engine_order>> orders_;
    std::size_t open_ = 0;
};

} // namespace mintknot::orders

#endif
