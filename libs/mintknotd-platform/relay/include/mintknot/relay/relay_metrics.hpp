/// @file
/// Counters and latency histograms of the traffic of one instance.
#ifndef MINTKNOT_RELAY_RELAY_METRICS_HPP
#define MINTKNOT_RELAY_RELAY_METRICS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/server_health.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace mintknot::relay {

/// A request that has been answered or given up.
struct finished_request {
    std::string route;
    std::string outcome; ///< "answered", or the code of a refusal.
    base::milliseconds first_byte{0};
    base::milliseconds total{0};
};

/// Label sets are bounded: routes beyond the bound count as "other".
class relay_metrics {
public:
    relay_metrics();
    ~relay_metrics();
    relay_metrics(const relay_metrics&) = delete;
    relay_metrics& operator=(const relay_metrics&) = delete;

    void count_request(const finished_request& request);
    void count_call(policy::call_result result);
    void count_repeat(std::string_view reason);
    /// How old the view of the servers was when a request was sent to one.
    void observe_servers_age(base::milliseconds age);
    void set_gauge(std::string_view name, double value);

    /// @return the text format of Prometheus.
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
