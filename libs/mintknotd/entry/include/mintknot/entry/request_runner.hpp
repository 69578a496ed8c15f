/// @file
/// Runs one request from placement to its last token, over all retries.
#ifndef MINTKNOT_ENTRY_REQUEST_RUNNER_HPP
#define MINTKNOT_ENTRY_REQUEST_RUNNER_HPP

#include <mintknot/audit/decision_log.hpp>
#include <mintknot/engine/engine_client.hpp>
#include <mintknot/entry/cancel_queue.hpp>
#include <mintknot/entry/live_request.hpp>
#include <mintknot/entry/progress_reporter.hpp>
#include <mintknot/metrics/traffic_metrics.hpp>
#include <mintknot/routing/retry_budget.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mintknot::entry {

struct placed;

struct runner_options {
    std::string holder; ///< This instance's ID, for the engines.
    /// Longest silence of a stream or a transfer.
    base::milliseconds idle_timeout{3000};
};

/// What a runner works with. All must outlive it.
struct runner_parts {
    engine::engine_client& engines;
    /// Finds engines; see placer.
    std::function<placed(routing::place_query)> place;
    /// Tells schedulers; see progress_reporter.
    std::function<void(const scheduler_location&, routing::progress)> report;
    cancel_queue& cancels;
    audit::decision_log& decisions;
    metrics::traffic_metrics& metrics;
};

/// Thread: run() from any thread; it blocks until the request has ended.
class request_runner {
public:
    request_runner(runner_parts parts, runner_options options);
    ~request_runner();
    request_runner(const request_runner&) = delete;
    request_runner& operator=(const request_runner&) = delete;

    void run(live_request& request);

private:
    friend class request_run;

    void earn_retry(const completion_call& call);
    bool spend_retry(const completion_call& call);
    void note_end(const live_request& request);

    const runner_parts parts_;
    const runner_options options_;
    std::mutex mutex_;
    std::map<std::string, routing::retry_budget> budgets_; ///< By class.
};

} // namespace mintknot::entry

#endif
