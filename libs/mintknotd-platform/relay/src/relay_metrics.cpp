#include <mintknot/relay/relay_metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <set>

namespace mintknot::relay {

namespace {

constexpr std::size_t max_routes = 64;
constexpr std::size_t max_organisations = 64;
/// Priorities from this one on are counted together.
constexpr int max_priority_label = 9;

const prometheus::Histogram::BucketBoundaries& latency_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds = {
        0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.9, 1.5, 3, 6, 14};
    return bounds;
}

/// @return the label, or "other" if it is new and there are too many.
std::string bounded_label(
    std::set<std::string>& known, const std::string& label, std::size_t bound) {
    if (known.contains(label))
        return label;
    if (known.size() >= bound)
        return "other";
    known.insert(label);
    return label;
}

double seconds(base::milliseconds time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

struct relay_metrics::impl {
    std::string route_label(const std::string& route) {
        return bounded_label(routes, route, max_routes);
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests =
        prometheus::BuildCounter()
            .Name("mintknot_requests_total")
            .Help("Requests by route and outcome.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& calls =
        prometheus::BuildCounter()
            .Name("mintknot_calls_total")
            .Help("Calls to backend servers by result.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& retries =
        prometheus::BuildCounter()
            .Name("mintknot_repeats_total")
            .Help("Requests sent again, by reason.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& first_bytes =
        prometheus::BuildHistogram()
            .Name("mintknot_first_byte_seconds")
            .Help("From arrival to the first byte of the answer.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& totals =
        prometheus::BuildHistogram()
            .Name("mintknot_request_seconds")
            .Help("From arrival to the end of the answer.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& server_ages =
        prometheus::BuildHistogram()
            .Name("mintknot_servers_age_at_send_seconds")
            .Help("Age of the view of the servers at each send.")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges =
        prometheus::BuildGauge()
            .Name("mintknot_state")
            .Help("What the instance believes at present.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& capacity_requests =
        prometheus::BuildCounter()
            .Name("mintknot_capacity_requests_total")
            .Help("Requests served or refused capacity, by priority.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& capacity_costs =
        prometheus::BuildCounter()
            .Name("mintknot_capacity_cost_total")
            .Help("Tokens of memory (1 for a plain call) served or refused, by "
                  "organisation.")
            .Register(registry);
    std::set<std::string> routes;
    std::set<std::string> organisations;
};

relay_metrics::relay_metrics()
    : impl_(std::make_unique<impl>()) {}

relay_metrics::~relay_metrics() = default;

void relay_metrics::count_request(const finished_request& request) {
    const std::string route = impl_->route_label(request.route);
    impl_->requests.Add({{"route", route}, {"outcome", request.outcome}})
        .Increment();
    impl_->first_bytes.Add({{"route", route}}, latency_buckets())
        .Observe(seconds(request.first_byte));
    impl_->totals.Add({{"route", route}}, latency_buckets())
        .Observe(seconds(request.total));
}

void relay_metrics::count_call(policy::call_result result) {
    impl_->calls.Add({{"result", std::string(policy::to_string(result))}})
        .Increment();
}

void relay_metrics::count_retry(std::string_view reason) {
    impl_->retries.Add({{"reason", std::string(reason)}}).Increment();
}

void relay_metrics::count_share(const capacity_use& use) {
    const bool served = use.denial == policy::capacity_denial::none;
    const std::string result =
        served ? "served" : std::string(policy::to_string(use.denial));
    const std::string priority =
        std::to_string(std::clamp(use.priority, 0, max_priority_label));
    impl_->capacity_requests.Add({{"priority", priority}, {"result", result}})
        .Increment();
    const std::string organisation = bounded_label(
        impl_->organisations, use.organisation, max_organisations);
    impl_->capacity_costs
        .Add({{"organisation", organisation}, {"result", result}})
        .Increment(use.cost);
}

void relay_metrics::observe_server_table_age(base::milliseconds age) {
    impl_->server_ages.Add({}, latency_buckets()).Observe(seconds(age));
}

void relay_metrics::set_gauge(std::string_view name, double value) {
    impl_->gauges.Add({{"name", std::string(name)}}).Set(value);
}

std::string relay_metrics::text() const {
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace mintknot::relay
