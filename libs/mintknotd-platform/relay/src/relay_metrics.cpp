#include <mintknot/relay/relay_metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <set>

namespace mintknot::relay {

namespace {

constexpr std::size_t max_routes = 64;

const prometheus::Histogram::BucketBoundaries& latency_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds = {
        0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.9, 1.5, 3, 6, 14};
    return bounds;
}

const prometheus::Histogram::BucketBoundaries& ratio_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds = {
        0.25, 0.5, 0.7, 1.0, 1.4, 2.0, 4.0};
    return bounds;
}

const prometheus::Histogram::BucketBoundaries& delay_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds = {
        0.001, 0.0025, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1};
    return bounds;
}

double seconds(base::microseconds time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

struct relay_metrics::impl {
    std::string route_label(const std::string& route) {
        if (routes.contains(route))
            return route;
        if (routes.size() >= max_routes)
            return "other";
        routes.insert(route);
        return route;
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
    prometheus::Family<prometheus::Counter>& silent_calls =
        prometheus::BuildCounter()
            .Name("mintknot_silent_decodes_total")
            .Help("Silent decode calls that were to be left, by outcome.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& taken_up =
        prometheus::BuildCounter()
            .Name("mintknot_streams_taken_up_total")
            .Help("Streams that callers take up, by what is known of them.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& caller_closes =
        prometheus::BuildCounter()
            .Name("mintknot_caller_closes_total")
            .Help("Callers' connections closed with a request under way.")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& plain_decisions =
        prometheus::BuildCounter()
            .Name("mintknot_plain_decisions_total")
            .Help("Plain calls by denial of capacity; none: sent.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& plain_services =
        prometheus::BuildHistogram()
            .Name("mintknot_plain_service_seconds")
            .Help("Service time by which plain calls were decided.")
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
    prometheus::Family<prometheus::Histogram>& longest_gaps =
        prometheus::BuildHistogram()
            .Name("mintknot_longest_gap_seconds")
            .Help("Longest time between two events of a stream.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& server_ages =
        prometheus::BuildHistogram()
            .Name("mintknot_servers_age_at_send_seconds")
            .Help("Age of the view of the servers at each send.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& output_ratios =
        prometheus::BuildHistogram()
            .Name("mintknot_output_over_estimate")
            .Help("Output of streams over the estimate of their callers.")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& loop_delays =
        prometheus::BuildHistogram()
            .Name("mintknot_loop_delay_seconds")
            .Help("Delay of a timer while callers connect or send requests.")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges =
        prometheus::BuildGauge()
            .Name("mintknot_state")
            .Help("What the instance believes at present.")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& builds =
        prometheus::BuildGauge()
            .Name("mintknot_build_info")
            .Help("Version and commit of the program that runs; always 1.")
            .Register(registry);
    std::set<std::string> routes;
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
    if (request.longest_gap > base::milliseconds{0})
        impl_->longest_gaps.Add({{"route", route}}, latency_buckets())
            .Observe(seconds(request.longest_gap));
}

void relay_metrics::count_call(policy::call_result result) {
    impl_->calls.Add({{"result", std::string(policy::to_string(result))}})
        .Increment();
}

void relay_metrics::count_retry(std::string_view reason) {
    impl_->retries.Add({{"reason", std::string(reason)}}).Increment();
}

void relay_metrics::count_silent_call(std::string_view outcome) {
    impl_->silent_calls.Add({{"outcome", std::string(outcome)}}).Increment();
}

void relay_metrics::count_taken_up(policy::origin_verdict verdict) {
    impl_->taken_up.Add({{"outcome", std::string(policy::to_string(verdict))}})
        .Increment();
}

void relay_metrics::count_plain_decision(policy::capacity_denial denial) {
    impl_->plain_decisions
        .Add({{"denial", std::string(policy::to_string(denial))}})
        .Increment();
}

void relay_metrics::count_caller_close(std::string_view reason) {
    impl_->caller_closes.Add({{"reason", std::string(reason)}}).Increment();
}

void relay_metrics::observe_plain_service(base::milliseconds time) {
    impl_->plain_services.Add({}, latency_buckets()).Observe(seconds(time));
}

void relay_metrics::observe_server_table_age(base::milliseconds age) {
    impl_->server_ages.Add({}, latency_buckets()).Observe(seconds(age));
}

void relay_metrics::observe_output_ratio(double ratio) {
    impl_->output_ratios.Add({}, ratio_buckets()).Observe(ratio);
}

void relay_metrics::observe_loop_delay(base::microseconds delay) {
    impl_->loop_delays.Add({}, delay_buckets()).Observe(seconds(delay));
}

void relay_metrics::set_gauge(std::string_view name, double value) {
    impl_->gauges.Add({{"name", std::string(name)}}).Set(value);
}

void relay_metrics::set_build(const build::info& info) {
    impl_->builds
        .Add(
            {{"version", std::string(info.version)},
             {"commit", std::string(info.commit)}})
        .Set(1.0);
}

std::string relay_metrics::text() const {
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace mintknot::relay
