/// @file
/// Tells the instance that looks after phases what requests elsewhere take.
#ifndef MINTKNOT_ORDERS_DEMAND_SHARING_HPP
#define MINTKNOT_ORDERS_DEMAND_SHARING_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace mintknot::orders {

/// How the sharing reaches other instances.
struct sharing_ports {
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return the host of the instance that looks after phases; empty: it is
    /// not to be told, as it is this one, or in another data centre, or the
    /// group is small.
    std::function<std::string()> reader;
};

/// In a large group one instance sees too few requests to know in time how many
/// engines should read: one of 295 meets some 25 streams in half a minute,
/// fewer than the common mix that stands in at first (phase_plan.cpp). The
/// instances of its data centre tell it what they have seen, some 100 bytes
/// each every two seconds: a fifth of the traffic of five data centres, and no
/// more bytes when there are more of them. Lives on the loop's thread.
class demand_sharing {
public:
    /// The router must outlive this object.
    demand_sharing(relay::router_context& router, sharing_ports ports);

    /// Tells from now on.
    void start();

    /// @return false if the datagram is about something else.
    bool receive(const std::string& host, std::string_view datagram);

private:
    void tell();

    relay::router_context& router_;
    sharing_ports ports_;
    event::timer timer_;
};

} // namespace mintknot::orders

#endif
