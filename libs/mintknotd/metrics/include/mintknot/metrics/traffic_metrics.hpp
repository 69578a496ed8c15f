/// @file
/// Counters and histograms of one instance, for classes and organisations.
#ifndef MINTKNOT_METRICS_TRAFFIC_METRICS_HPP
#define MINTKNOT_METRICS_TRAFFIC_METRICS_HPP

#include <mintknot/base/reason.hpp>
#include <mintknot/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace mintknot::metrics {

/// A finished request as the metrics see it.
struct finished_request {
    std::string request_class;
    std::string organisation;
    base::reason code = base::reason::none; ///< none: answered whole.
    base::microseconds first_token{0};      ///< 0: there was none.
    base::microseconds per_token{0};        ///< Mean between tokens; 0: none.
    std::uint64_t tokens = 0;
    bool met_targets = false; ///< Both of its class.
};

/// Label sets are bounded: organisations beyond the bound count as "other".
/// Thread: all functions may be called from any thread.
class traffic_metrics {
public:
    /// @param most_organisations organisations with histograms of their own.
    explicit traffic_metrics(std::size_t most_organisations);
    ~traffic_metrics();
    traffic_metrics(const traffic_metrics&) = delete;
    traffic_metrics& operator=(const traffic_metrics&) = delete;

    void add(const finished_request& request);
    void add_retry(const std::string& request_class, base::reason code);
    void set_open(std::size_t requests);
    void set_instances(std::size_t live);
    void set_config_revision(std::uint64_t revision);

    /// @return the text format of Prometheus.
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::metrics

#endif
