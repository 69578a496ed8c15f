#include <mintknot/orders/demand_sharing.hpp>

#include "demand_report.hpp"

namespace mintknot::orders {

namespace {

/// Between two reports: 3 KB a second for the one that reads those of 59
/// instances, calculated.
constexpr base::milliseconds report_period{2000};

} // namespace

demand_sharing::demand_sharing(
    relay::router_context& router, sharing_ports ports)
    : router_(router)
    , ports_(std::move(ports))
    , timer_(router.loop) {}

void demand_sharing::start() {
    timer_.start(report_period, [this] {
        tell();
        start();
    });
}

void demand_sharing::tell() {
    const std::string host = ports_.reader();
    if (host.empty())
        return;
    demand_map seen;
    for (const auto& [service, demand] : router_.state.demands)
        if (demand.requests > 0.0 || demand.prefills > 0.0)
            seen[service] = demand;
    if (!seen.empty())
        ports_.send(host, encode(seen));
}

bool demand_sharing::receive(
    const std::string& host, std::string_view datagram) {
    auto demands = decode_demand(datagram);
    if (!demands.ok())
        return false;
    const base::steady_time now = router_.loop.now();
    std::erase_if(router_.state.demands_of_peers, [now](const auto& item) {
        return now - item.second.received_at > relay::peer_demand_lifetime;
    });
    router_.state.demands_of_peers[host] = {*std::move(demands), now};
    return true;
}

} // namespace mintknot::orders
