/// @file
/// A plain backend server that counts the orders it has run.
#ifndef MINTKNOT_SCENARIO_ORDER_DESK_HPP
#define MINTKNOT_SCENARIO_ORDER_DESK_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/net/http_server.hpp>

#include <atomic>
#include <cstdint>

namespace mintknot::scenario {

/// Every POST runs an order at once; while silent, its answer waits.
class order_desk {
public:
    order_desk();
    ~order_desk();
    order_desk(const order_desk&) = delete;
    order_desk& operator=(const order_desk&) = delete;

    const base::address& where() const noexcept { return where_; }
    std::uint64_t orders() const noexcept { return orders_; }
    void set_silent(bool silent);

private:
    std::atomic<std::uint64_t> orders_{0};
    std::atomic<bool> silent_{false};
    net::http_server server_{{}};
    base::address where_;
};

} // namespace mintknot::scenario

#endif
