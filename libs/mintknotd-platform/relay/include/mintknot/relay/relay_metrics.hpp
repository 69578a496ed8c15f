/// @file
/// Counters and latency histograms of one instance's traffic.
#ifndef MINTKNOT_RELAY_RELAY_METRICS_HPP
#define MINTKNOT_RELAY_RELAY_METRICS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/capacity_claim.hpp>
#include <mintknot/policy/server_health.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace mintknot::relay {

/// A request that has been answered or abandoned.
struct finished_request {
    std::string route;
    std::string outcome; ///< "answered", or the code of a refusal.
    base::milliseconds first_byte{0};
    base::milliseconds total{0};
};

/// A request that got capacity or was refused it.
struct capacity_use {
    int priority = 0;
    std::string organisation;
    policy::capacity_denial denial = policy::capacity_denial::none;
    double cost = 0.0; ///< Decode memory in tokens; 1 for a plain call.
};

/// Metrics of one instance, exported in the Prometheus text format. The numbers
/// of route, priority and organisation labels are bounded; further ones are
/// counted under "other".
class relay_metrics {
public:
    relay_metrics();
    ~relay_metrics();
    relay_metrics(const relay_metrics&) = delete;
    relay_metrics& operator=(const relay_metrics&) = delete;

    void count_request(const finished_request& request);
    void count_call(policy::call_result result);
    void count_retry(std::string_view reason);
    void count_share(const capacity_use& use);
    /// Records how old the server table was when a request was sent to a
    /// server.
    void observe_server_table_age(base::milliseconds age);
    void set_gauge(std::string_view name, double value);

    /// @return all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
