/// @file
/// Start, readiness, metrics and shutdown of an instance.

#include "instance_impl.hpp"

#include <mintknot/policy/drain.hpp>

#include <csignal>

namespace mintknot::runtime {

namespace {

/// Interval at which a shutdown checks whether the next step is due.
constexpr base::milliseconds drain_poll{50};
/// Between the last answer and the end of the process, so that the last bytes
/// are sent.
constexpr base::milliseconds exit_delay{60};

/// A timer that fires later than this shows that the process was suspended or
/// got no processor time, and that its state is older by that time.
constexpr base::milliseconds interruption_bound{200};
/// Interruptions longer than this are logged.
constexpr base::milliseconds logged_interruption{500};

/// Value of a gauge for an age that is not known yet.
constexpr double never_confirmed = -1.0;

/// Delay before the store is first read if all instances start together and no
/// request arrives for some seconds. After it, most instances of a very large
/// group know that others read the store for them.
constexpr base::milliseconds first_start_read_delay{2500};
/// The same for a restart: several round trips to a seed, from which a member
/// of a very large group learns that it need not read the store. A read of
/// 10,000 rows by one instance takes 20 calls and 4.5 MB (calculated).
constexpr base::milliseconds restart_read_delay{60};

base::milliseconds initial_read_delay(const instance_settings& settings) {
    if (settings.seed_hosts.empty())
        return base::milliseconds{0};
    return settings.first_start ? first_start_read_delay : restart_read_delay;
}

double seconds_or_never(std::optional<base::microseconds> age) {
    return age ? std::chrono::duration<double>(*age).count() : never_confirmed;
}

double gauge(std::uint64_t count) {
    return static_cast<double>(count);
}

} // namespace

bool instance::impl::ready() const {
    const bool can_place =
        members_of_fleet.role() == policy::group_role::flat
            ? documents.known()
            : documents.knows_servers() || !group.table().heard.empty();
    return !context.state.stopping && context.state.config != nullptr &&
           can_place;
}

relay::local_answer instance::impl::readiness_answer() const {
    if (ready())
        return {200, "text/plain", "ready\n"};
    return {503, "text/plain", "not ready\n"};
}

relay::local_answer instance::impl::metrics_answer() {
    const std::uint64_t version =
        context.state.config == nullptr ? 0 : context.state.config->version;
    const std::chrono::duration<double> silence = documents.silence();
    const policy::instance_delays delays = context.monitor.delays();
    const std::pair<const char*, double> gauges[] = {
        {"ready", ready() ? 1.0 : 0.0},
        {"open_requests", gauge(context.state.open_requests)},
        {"caller_connections", gauge(entry.connections())},
        {"idle_upstream_connections", gauge(pool.idle_total())},
        {"upstream_connections_opened", gauge(pool.counters().opened)},
        {"upstream_connections_failed", gauge(pool.counters().failed)},
        {"upstream_connections_refused", gauge(pool.counters().refused)},
        {"tunnels_opened", gauge(connector.counters().tunnels_opened)},
        {"tunnels_failed", gauge(connector.counters().tunnels_failed)},
        {"tunnels_served", gauge(tunnels.counters().served)},
        {"tunnels_rejected", gauge(tunnels.counters().rejected)},
        {"tunnels_open", gauge(tunnels.open())},
        {"isolated", policy::is_isolated(context.state.paths, ports.loop.now())
                         ? 1.0
                         : 0.0},
        {"peers", gauge(group.table().heard.size())},
        {"closed_data_centres",
         gauge(context.state.servers.closed_data_centres.size())},
        {"group_instances", gauge(context.state.instances)},
        {"group_role",
         gauge(static_cast<std::uint64_t>(members_of_fleet.role()))},
        {"store_silence_seconds", silence.count()},
        {"configuration_version", gauge(version)},
        {"repeats_lent", static_cast<double>(lending.lent())},
        {"repeats_borrowed", static_cast<double>(lending.borrowed())},
        {"usage_granted", gauge(accounts.counters().granted)},
        {"usage_refused", gauge(accounts.counters().refused)},
        {"usage_granted_by_deputies",
         gauge(accounts.counters().granted_by_deputies)},
        {"usage_granted_alone", gauge(accounts.counters().granted_alone)},
        {"limited_servers",
         gauge(policy::count_limited_servers(context.state.health.limits))},
        {"blocked_requests", gauge(crashes.blocked())},
        {"blocked_parts", gauge(crashes.blocked_parts())},
        {"servers_ended", gauge(crashes.servers_ended())},
        {"stream_origins", gauge(origins.table().by_stream.size())},
        {"stream_origins_evicted", gauge(origins.table().evicted)},
        {"stream_origins_told", gauge(origins.counters().told)},
        {"stream_origins_asked", gauge(origins.counters().asked)},
        {"stream_origins_answered", gauge(origins.counters().answered)},
        {"configuration_age_seconds",
         seconds_or_never(relay::configuration_freshness_of(context).age)},
        {"servers_age_seconds",
         seconds_or_never(relay::server_table_age(context))},
        {"overloaded", shedder.overloaded() ? 1.0 : 0.0},
        {"shed_share", shedder.share()},
        {"refusing_connections", shedder.refusing() ? 1.0 : 0.0},
        {"standing_loop_delay_seconds", seconds_or_never(delays.loop)},
        {"standing_connect_delay_seconds", seconds_or_never(delays.connect)},
        {"longest_loop_delay_seconds", seconds_or_never(longest_delay)},
        {"log_lines_left_out", gauge(log.left_out())}};
    for (const auto& [name, value] : gauges)
        metrics.set_gauge(name, value);
    return {200, "text/plain; version=0.0.4", metrics.text()};
}

absl::Status instance::impl::open_addresses() {
    absl::Status status = readiness.open(settings.readiness);
    if (status.ok())
        status = entry.open(settings.entry);
    if (status.ok() && settings.metrics)
        status = metrics_server.open(*settings.metrics);
    if (status.ok())
        status = peer_server.open(settings.peer);
    if (status.ok())
        status = group.open();
    return status;
}

void instance::impl::on_signal(int number) {
    if (number == SIGHUP) {
        reloads.read("signal");
        return;
    }
    begin_drain();
}

void instance::impl::on_delay(base::milliseconds delay) {
    longest_delay = std::max(longest_delay, delay);
    const base::steady_time now = ports.loop.now();
    crashes.note_interruption({now - delay, now});
    if (delay <= logged_interruption)
        return;
    log.write(
        "loop_delayed",
        {{"for_ms", delay.count()},
         {"servers_age_ms", relay::server_table_age_ms(context)}});
}

void instance::impl::take(
    const instance_settings& fresh, std::string_view cause) {
    context.state.retry_bounds = fresh.retry_bounds;
    settings.usage_bounds = fresh.usage_bounds;
    accounts.set_bounds(fresh.usage_bounds);
    settings.grace = fresh.grace;
    log.write("reloaded", {{"cause", cause}});
}

void instance::impl::begin_drain() {
    if (context.state.stopping)
        return;
    entry.begin_drain(settings.grace);
    log.write(
        "stopping",
        {{"busy", static_cast<std::int64_t>(entry.active_requests())},
         {"grace_ms", settings.grace.count()}});
    group.changed();
    members_of_fleet.leave();
    drain();
}

void instance::impl::drain() {
    const auto since = std::chrono::duration_cast<base::milliseconds>(
        ports.loop.now() - context.state.stop_began);
    switch (policy::next_drain_step(
        since, settings.grace, entry.active_requests() + tunnels.open())) {
    case policy::drain_step::serve:
        break;
    case policy::drain_step::close_idle:
        entry.close_idle();
        break;
    case policy::drain_step::terminate:
        leave(since);
        return;
    }
    drain_timer.start(drain_poll, [this] { drain(); });
}

void instance::impl::leave(base::milliseconds since) {
    shedder.stop();
    entry.stop_accepting();
    entry.close_idle();
    tunnels.close();
    documents.stop();
    balancer.stop();
    log.write(
        "stopped",
        {{"after_ms", since.count()},
         {"unfinished", static_cast<std::int64_t>(entry.active_requests())}});
    drain_timer.start(exit_delay, [this] {
        entry.record_unfinished();
        ports.loop.stop();
    });
}

instance::instance(instance_settings settings, instance_ports ports)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(ports))) {}

instance::~instance() = default;

absl::Status instance::start() {
    std::signal(SIGPIPE, SIG_IGN);
    absl::Status opened = impl_->open_addresses();
    if (!opened.ok())
        return opened;
    impl_->ports.loop.on_signals({SIGTERM, SIGINT, SIGHUP}, [this](int number) {
        impl_->on_signal(number);
    });
    impl_->ports.loop.on_delay(
        interruption_bound,
        [this](base::milliseconds delay) { impl_->on_delay(delay); });
    impl_->crashes.note_interruption(
        {base::steady_time::min(), impl_->ports.loop.now()});
    impl_->log.write(
        "started", {{"data_centre", impl_->settings.data_centre},
                    {"entry", base::to_string(impl_->settings.entry)},
                    {"version", impl_->settings.build.version},
                    {"commit", impl_->settings.build.commit}});
    impl_->metrics.set_build(impl_->settings.build);
    impl_->members_of_fleet.start();
    impl_->documents.start(initial_read_delay(impl_->settings));
    impl_->balancer.start();
    impl_->demands.start();
    impl_->reloads.start();
    return absl::OkStatus();
}

} // namespace mintknot::runtime
