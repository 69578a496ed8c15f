#include <mintknot/metrics/traffic_metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <set>

namespace mintknot::metrics {

namespace {

using prometheus::Histogram;

Histogram::BucketBoundaries first_token_buckets() {
    return {0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.68, 1, 2, 5, 10};
}

Histogram::BucketBoundaries per_token_buckets() {
    return {0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05, 0.062, 0.08, 0.1, 0.2};
}

double seconds(base::microseconds value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

struct traffic_metrics::impl {
    std::size_t most_organisations = 0;
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests =
        prometheus::BuildCounter()
            .Name("mintknot_requests_total")
            .Help("Finished requests by class and reason code")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& good =
        prometheus::BuildCounter()
            .Name("mintknot_goodput_total")
            .Help("Requests that met both targets of their class")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& tokens =
        prometheus::BuildCounter()
            .Name("mintknot_tokens_total")
            .Help("Tokens sent to callers, by class")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& retries =
        prometheus::BuildCounter()
            .Name("mintknot_retries_total")
            .Help("Retries by class and the reason of the failure")
            .Register(registry);
    prometheus::Family<Histogram>& first_token =
        prometheus::BuildHistogram()
            .Name("mintknot_first_token_seconds")
            .Help("Time to the first token, by class or organisation")
            .Register(registry);
    prometheus::Family<Histogram>& per_token =
        prometheus::BuildHistogram()
            .Name("mintknot_per_token_seconds")
            .Help("Mean time between tokens, by class or organisation")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges =
        prometheus::BuildGauge()
            .Name("mintknot_state")
            .Help("Open requests, live instances, configuration revision")
            .Register(registry);
    std::mutex mutex;
    std::set<std::string> organisations;

    std::string organisation_label(const std::string& name) {
        const std::lock_guard lock(mutex);
        if (organisations.contains(name))
            return name;
        if (organisations.size() >= most_organisations)
            return "other";
        organisations.insert(name);
        return name;
    }

    void
    observe(const prometheus::Labels& labels, const finished_request& request) {
        if (request.first_token.count() > 0)
            first_token.Add(labels, first_token_buckets())
                .Observe(seconds(request.first_token));
        if (request.per_token.count() > 0)
            per_token.Add(labels, per_token_buckets())
                .Observe(seconds(request.per_token));
    }
};

traffic_metrics::traffic_metrics(std::size_t most_organisations)
    : impl_(std::make_unique<impl>()) {
    impl_->most_organisations = most_organisations;
}

traffic_metrics::~traffic_metrics() = default;

void traffic_metrics::add(const finished_request& request) {
    const std::string code(base::to_string(request.code));
    impl_->requests.Add({{"class", request.request_class}, {"reason", code}})
        .Increment();
    impl_->tokens.Add({{"class", request.request_class}})
        .Increment(static_cast<double>(request.tokens));
    if (request.met_targets)
        impl_->good.Add({{"class", request.request_class}}).Increment();
    impl_->observe({{"class", request.request_class}}, request);
    impl_->observe(
        {{"organisation", impl_->organisation_label(request.organisation)}},
        request);
}

void traffic_metrics::add_retry(
    const std::string& request_class, base::reason code) {
    const std::string text(base::to_string(code));
    impl_->retries.Add({{"class", request_class}, {"reason", text}})
        .Increment();
}

void traffic_metrics::set_open(std::size_t requests) {
    impl_->gauges.Add({{"of", "open_requests"}})
        .Set(static_cast<double>(requests));
}

void traffic_metrics::set_instances(std::size_t live) {
    impl_->gauges.Add({{"of", "live_instances"}})
        .Set(static_cast<double>(live));
}

void traffic_metrics::set_config_revision(std::uint64_t revision) {
    impl_->gauges.Add({{"of", "config_revision"}})
        .Set(static_cast<double>(revision));
}

std::string traffic_metrics::text() const {
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace mintknot::metrics
