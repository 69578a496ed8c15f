#include <mintknot/runtime/instance.hpp>

#include "document_sync.hpp"
#include "heartbeat_content.hpp"
#include "settings_watch.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/orders/phase_balancer.hpp>
#include <mintknot/peers/peer_group.hpp>
#include <mintknot/policy/drain.hpp>
#include <mintknot/policy/group.hpp>
#include <mintknot/relay/entry_server.hpp>
#include <mintknot/relay/local_server.hpp>
#include <mintknot/scheduling/remote_placer.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace mintknot::runtime {

namespace {

constexpr base::milliseconds drain_poll{50};
constexpr base::milliseconds exit_delay{60};
/// Pause between two questions to a scheduler for one request that waits: some
/// times the way there and back.
constexpr base::milliseconds min_question_gap{60};

double gauge(std::uint64_t count) {
    return static_cast<double>(count);
}

} // namespace

struct instance::impl {
    impl(instance_settings given, instance_ports outside)
        : settings(std::move(given))
        , ports(std::move(outside))
        , log(STDOUT_FILENO, settings.name, {})
        , pool(ports.loop)
        , releases(pool, ports.protocol)
        , prober(
              ports.loop, pool, ports.protocol, log,
              [this](const std::string& id) { return check_of(id); },
              [this](const std::string& id, bool passed) {
                  policy::note_check(
                      context.state.health, id, passed, ports.loop.now());
              })
        , context{ports.loop, pool,     ports.protocol, log,
                  metrics,    releases, prober,         settings.relay}
        , entry(context)
        , readiness(
              ports.loop, relay::at_once([this](const http1::request_head&) {
                  return readiness_answer();
              }))
        , metrics_server(
              ports.loop, relay::at_once([this](const http1::request_head&) {
                  return metrics_answer();
              }))
        , peer_server(
              ports.loop,
              [this](
                  const http1::request_head& head, relay::local_reply reply) {
                  documents.answer(head, std::move(reply));
              })
        , documents(
              {ports.loop, ports.store, ports.codec, pool, log,
               [this] { return context.draw(); }},
              {settings.peer, settings.data_centre, settings.drain_bound,
               [this] { return readers_here(); }},
              document_functions())
        , group(
              ports.loop, log,
              {settings.peer, settings.data_centre, settings.seed_hosts},
              group_functions())
        , placer(context, placer_functions())
        , balancer(
              context, ports.store, balancer_options(),
              [this] { return looks_after_phases(); })
        , drain_timer(ports.loop)
        , reloads(
              ports.loop, log, ports.reload,
              [this](const instance_settings& fresh) {
                  return fresh.retry_bounds != context.state.retry_bounds ||
                         fresh.grace != settings.grace;
              },
              [this](const instance_settings& fresh, std::string_view cause) {
                  take(fresh, cause);
              }) {
        context.state.retry_bounds = settings.retry_bounds;
        context.state.instances = policy::assumed_instances(1);
        context.state.started = ports.loop.now();
        context.placement = &placer;
        context.state.on_order = [this] { group.changed(); };
        context.state.on_load_change = [this] {
            if (placer.active())
                placer.loads_changed();
            else
                group.changed();
        };
    }

    document_handlers document_functions() {
        return {
            [this](std::shared_ptr<const traffic::configuration> config) {
                context.state.config = std::move(config);
                group.changed();
            },
            [this](
                const std::string& id, std::uint64_t version,
                std::optional<traffic::server> server) {
                on_server(id, version, std::move(server));
            },
            [this] { return traffic::count(context.state.servers); }};
    }

    void on_server(
        const std::string& id, std::uint64_t version,
        std::optional<traffic::server> server) {
        const bool gone = !server;
        const traffic::server* known = traffic::find(context.state.servers, id);
        const bool changed = known != nullptr && server.has_value() &&
                             known->phase != server->phase;
        if (!traffic::apply(
                context.state.servers, id, version, std::move(server)))
            return;
        if (changed)
            policy::end_change(context.state.health, id);
        context.queue.room_freed();
        if (gone) {
            pool.drop(id);
            policy::forget(context.state.health, id);
            policy::forget(context.state.rates, id);
        }
        if (!placer.active())
            group.changed();
    }

    scheduling::placer_ports placer_functions() {
        return {
            settings.peer.host,
            [this](const std::string& host, const std::string& datagram) {
                group.send(host, datagram);
            },
            [this](const std::string& data_centre) {
                return scheduler_hosts(data_centre);
            },
            [this] { return uses_schedulers(); }};
    }

    std::vector<std::string>
    scheduler_hosts(const std::string& data_centre) const {
        std::vector<std::string> hosts =
            peers::staying(group.table(), data_centre);
        if (!context.state.stopping &&
            (data_centre.empty() || data_centre == settings.data_centre))
            hosts.push_back(settings.peer.host);
        return hosts;
    }

    bool uses_schedulers() const {
        return settings.always_schedule || peers::is_large(group.table());
    }

    orders::balancer_options balancer_options() const {
        orders::balancer_options options;
        options.holder =
            fmt::format("{}/{}", settings.name, base::random_token());
        options.terms.length = settings.order_lease;
        return options;
    }

    peers::group_handlers group_functions() {
        return {
            [this] { return describe_here(); },
            [this](const std::string& host, const peers::heartbeat& heartbeat) {
                on_heartbeat(host, heartbeat);
            },
            [this](const std::string& host, std::string_view datagram) {
                placer.receive(host, datagram);
            }};
    }

    peers::heartbeat describe_here() {
        peers::heartbeat own = describe(context, !placer.active());
        own.configuration = documents.version(state::collection::configuration);
        own.servers = documents.version(state::collection::servers);
        return own;
    }

    bool looks_after_phases() const {
        return policy::looks_after_phases(
            settings.peer.host, peers::staying(group.table(), {}));
    }

    void
    on_heartbeat(const std::string& host, const peers::heartbeat& heartbeat) {
        take_heartbeat(context, host, heartbeat);
        context.state.instances =
            policy::assumed_instances(peers::instances(group.table()));
        if (!has_been_large && placer.active()) {
            has_been_large = true;
            documents.use_large_group_pace();
            context.queue.slow_down(min_question_gap);
        }
        documents.on_heartbeat(host, heartbeat);
    }

    std::vector<std::string> readers_here() const {
        if (!placer.active())
            return {};
        return policy::store_readers(scheduler_hosts(settings.data_centre));
    }

    std::optional<relay::health_check> check_of(const std::string& id) const {
        const traffic::server* server =
            traffic::find(context.state.servers, id);
        if (server == nullptr || context.state.config == nullptr)
            return std::nullopt;
        const auto service =
            context.state.config->services.find(server->service);
        if (service == context.state.config->services.end())
            return std::nullopt;
        return relay::health_check{
            {server->id, server->where},
            service->second.health_path,
            policy::avoided_until(context.state.health, id)};
    }

    bool ready() const {
        return !context.state.stopping && context.state.config != nullptr &&
               documents.known();
    }

    relay::local_answer readiness_answer() const {
        if (ready())
            return {200, "text/plain", "ready\n"};
        return {503, "text/plain", "not ready\n"};
    }

    relay::local_answer metrics_answer() {
        const std::uint64_t version =
            context.state.config == nullptr ? 0 : context.state.config->version;
        const std::chrono::duration<double> silence = documents.silence();
        const std::pair<const char*, double> gauges[] = {
            {"ready", ready() ? 1.0 : 0.0},
            {"open_requests", gauge(context.state.open_requests)},
            {"caller_connections", gauge(entry.connections())},
            {"idle_upstream_connections", gauge(pool.idle_total())},
            {"upstream_connections_opened", gauge(pool.counters().opened)},
            {"peers", gauge(group.table().heard.size())},
            {"store_silence_seconds", silence.count()},
            {"configuration_version", gauge(version)},
            {"log_lines_left_out", gauge(log.left_out())}};
        for (const auto& [name, value] : gauges)
            metrics.set_gauge(name, value);
        return {200, "text/plain; version=0.0.4", metrics.text()};
    }

    absl::Status open_addresses() {
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

    void on_signal(int number) {
        if (number == SIGHUP) {
            reloads.read("signal");
            return;
        }
        begin_drain();
    }

    void take(const instance_settings& fresh, std::string_view cause) {
        context.state.retry_bounds = fresh.retry_bounds;
        settings.grace = fresh.grace;
        log.write("reloaded", {{"cause", cause}});
    }

    void begin_drain() {
        if (context.state.stopping)
            return;
        entry.begin_drain(settings.grace);
        log.write(
            "stopping", {{"busy", static_cast<std::int64_t>(entry.busy())},
                         {"grace_ms", settings.grace.count()}});
        group.changed();
        drain();
    }

    void drain() {
        const auto since = std::chrono::duration_cast<base::milliseconds>(
            ports.loop.now() - context.state.stop_began);
        switch (policy::next_drain_step(since, settings.grace, entry.busy())) {
        case policy::drain_step::serve:
            break;
        case policy::drain_step::close_idle:
            entry.close_idle();
            break;
        case policy::drain_step::leave:
            leave(since);
            return;
        }
        drain_timer.start(drain_poll, [this] { drain(); });
    }

    void leave(base::milliseconds since) {
        entry.close();
        entry.close_idle();
        documents.stop();
        balancer.stop();
        log.write(
            "stopped",
            {{"after_ms", since.count()},
             {"unfinished", static_cast<std::int64_t>(entry.busy())}});
        drain_timer.start(exit_delay, [this] { ports.loop.stop(); });
    }

    instance_settings settings;
    instance_ports ports;
    logging::line_log log;
    relay::relay_metrics metrics;
    upstream::connection_pool pool;
    relay::release_queue releases;
    relay::health_prober prober;
    relay::router_context context;
    relay::entry_server entry;
    relay::local_server readiness;
    relay::local_server metrics_server;
    relay::local_server peer_server;
    document_sync documents;
    peers::peer_group group;
    scheduling::remote_placer placer;
    orders::phase_balancer balancer;
    event::timer drain_timer;
    settings_watch reloads;
    bool has_been_large = false; ///< The group, at some time.
};

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
    impl_->log.write(
        "started", {{"data_centre", impl_->settings.data_centre},
                    {"entry", base::to_string(impl_->settings.entry)}});
    impl_->documents.start();
    impl_->balancer.start();
    impl_->reloads.start();
    return absl::OkStatus();
}

} // namespace mintknot::runtime
