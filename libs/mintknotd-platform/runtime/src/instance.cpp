/// @file
/// Start, readiness and shutdown of an instance.

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
        entry.refuse_late();
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
    const std::size_t unfinished = entry.active_requests();
    entry.end_all();
    tunnels.close();
    documents.stop();
    balancer.stop();
    log.write(
        "stopped", {{"after_ms", since.count()},
                    {"unfinished", static_cast<std::int64_t>(unfinished)}});
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
