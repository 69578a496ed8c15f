/// @file
/// What an instance tells on its metrics address.

#include "instance_impl.hpp"

#include <initializer_list>
#include <string_view>

namespace mintknot::runtime {

namespace {

/// Value of a gauge for an age that is not known yet.
constexpr double never_confirmed = -1.0;

struct gauge {
    std::string_view name;
    double value = 0.0;
};

double seconds_or_never(std::optional<base::microseconds> age) {
    return age ? std::chrono::duration<double>(*age).count() : never_confirmed;
}

double number(std::uint64_t count) {
    return static_cast<double>(count);
}

double flag(bool set) {
    return set ? 1.0 : 0.0;
}

void set_all(
    relay::relay_metrics& metrics, std::initializer_list<gauge> gauges) {
    for (const gauge& entry : gauges)
        metrics.set_gauge(entry.name, entry.value);
}

} // namespace

relay::local_answer instance::impl::metrics_answer() {
    set_connection_gauges();
    set_group_gauges();
    set_document_gauges();
    set_limit_gauges();
    set_crash_gauges();
    set_overload_gauges();
    return {200, "text/plain; version=0.0.4", metrics.text()};
}

void instance::impl::set_connection_gauges() {
    set_all(
        metrics,
        {{"open_requests", number(context.state.open_requests)},
         {"caller_connections", number(entry.connections())},
         {"idle_upstream_connections", number(pool.idle_total())},
         {"upstream_connections_opened", number(pool.counters().opened)},
         {"upstream_connections_failed", number(pool.counters().failed)},
         {"upstream_connections_refused", number(pool.counters().refused)},
         {"tunnels_opened", number(connector.counters().tunnels_opened)},
         {"tunnels_failed", number(connector.counters().tunnels_failed)},
         {"tunnels_served", number(tunnels.counters().served)},
         {"tunnels_rejected", number(tunnels.counters().rejected)},
         {"tunnels_open", number(tunnels.open())},
         {"isolated",
          flag(policy::is_isolated(context.state.paths, ports.loop.now()))}});
}

void instance::impl::set_group_gauges() {
    const auto role = static_cast<std::uint64_t>(members_of_fleet.role());
    set_all(
        metrics, {{"ready", flag(ready())},
                  {"peers", number(group.table().heard.size())},
                  {"group_instances", number(context.state.instances)},
                  {"group_role", number(role)}});
}

void instance::impl::set_document_gauges() {
    const std::uint64_t version =
        context.state.config == nullptr ? 0 : context.state.config->version;
    const std::size_t closed = context.state.servers.closed_data_centres.size();
    const std::chrono::duration<double> silence = documents.silence();
    set_all(
        metrics,
        {{"closed_data_centres", number(closed)},
         {"store_silence_seconds", silence.count()},
         {"configuration_version", number(version)},
         {"configuration_age_seconds",
          seconds_or_never(relay::configuration_freshness_of(context).age)},
         {"servers_age_seconds",
          seconds_or_never(relay::server_table_age(context))}});
}

void instance::impl::set_limit_gauges() {
    const std::size_t limited =
        policy::count_limited_servers(context.state.health.limits);
    set_all(
        metrics,
        {{"repeats_lent", static_cast<double>(lending.lent())},
         {"repeats_borrowed", static_cast<double>(lending.borrowed())},
         {"usage_granted", number(accounts.counters().granted)},
         {"usage_refused", number(accounts.counters().refused)},
         {"usage_granted_by_deputies",
          number(accounts.counters().granted_by_deputies)},
         {"usage_granted_alone", number(accounts.counters().granted_alone)},
         {"limited_servers", number(limited)}});
}

void instance::impl::set_crash_gauges() {
    set_all(
        metrics,
        {{"blocked_requests", number(crashes.blocked())},
         {"blocked_parts", number(crashes.blocked_parts())},
         {"servers_ended", number(crashes.servers_ended())},
         {"stream_origins", number(origins.table().by_stream.size())},
         {"stream_origins_evicted", number(origins.table().evicted)},
         {"stream_origins_told", number(origins.counters().told)},
         {"stream_origins_asked", number(origins.counters().asked)},
         {"stream_origins_answered", number(origins.counters().answered)}});
}

void instance::impl::set_overload_gauges() {
    const policy::instance_delays delays = context.monitor.delays();
    set_all(
        metrics,
        {{"overloaded", flag(shedder.overloaded())},
         {"shed_share", shedder.share()},
         {"refusing_connections", flag(shedder.refusing())},
         {"standing_loop_delay_seconds", seconds_or_never(delays.loop)},
         {"standing_connect_delay_seconds", seconds_or_never(delays.connect)},
         {"longest_loop_delay_seconds", seconds_or_never(longest_delay)},
         {"log_lines_left_out", number(log.left_out())}});
}

} // namespace mintknot::runtime
