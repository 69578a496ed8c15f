/// @file
/// Counters and latency histograms of one instance's traffic.
#ifndef MINTKNOT_RELAY_RELAY_METRICS_HPP
#define MINTKNOT_RELAY_RELAY_METRICS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/build/info.hpp>
#include <mintknot/policy/capacity_claim.hpp>
#include <mintknot/policy/server_health.hpp>
#include <mintknot/policy/stream_origin.hpp>

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
    base::milliseconds longest_gap{0}; ///< Between events; 0: no stream.
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
    /// Counts a silent decode call beside which another engine was looked for.
    /// @param outcome why that ended: `left` for the other engine,
    /// `engine_wrote` first, `engine_broke`, `request_ended`, or why the search
    /// failed.
    void count_silent_call(std::string_view outcome);
    /// Counts a stream that a caller takes up.
    void count_taken_up(policy::origin_verdict verdict);
    /// Counts a decision on a plain call while capacity is shared.
    void count_plain_decision(policy::capacity_denial denial);
    /// Counts a caller's connection that closes with a request under way.
    void count_caller_close(std::string_view reason);
    /// Records the service time that a plain call was decided by.
    void observe_plain_service(base::milliseconds time);
    /// Records how old the server table was when a request was sent to a
    /// server.
    void observe_server_table_age(base::milliseconds age);
    /// Records the output of a stream over the estimate of its caller.
    void observe_output_ratio(double ratio);
    /// Records how late a timer fired while callers were active.
    void observe_loop_delay(base::microseconds delay);
    void set_gauge(std::string_view name, double value);
    /// Tells which build runs, in the labels of a metric that is always 1.
    void set_build(const build::info& info);

    /// @return all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
