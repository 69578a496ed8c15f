/// @file
/// Counters and latency histograms of one instance's traffic.
#ifndef MINTKNOT_RELAY_RELAY_METRICS_HPP
#define MINTKNOT_RELAY_RELAY_METRICS_HPP

#include <mintknot/base/time.hpp>
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

/// Metrics of one instance, exported in the Prometheus text format. The number
/// of route labels is bounded; further routes are counted under "other".
class relay_metrics {
public:
    relay_metrics();
    ~relay_metrics();
    relay_metrics(const relay_metrics&) = delete;
    relay_metrics& operator=(const relay_metrics&) = delete;

    void count_request(const finished_request& request);
    void count_call(policy::call_result result);
    void count_retry(std::string_view reason);
    /// Counts a refusal for lack of capacity by how its caller's return was
    /// planned: `promised`, `final` or `unplanned`.
    void count_return(std::string_view plan);
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
