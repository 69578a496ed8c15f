#include <mintknot/daemon/daemon.hpp>

#include "peer_answers.hpp"

#include <mintknot/base/log.hpp>
#include <mintknot/claims/claim_ledger.hpp>
#include <mintknot/claims/claim_sweeper.hpp>
#include <mintknot/cluster/datagram_socket.hpp>
#include <mintknot/control/config_reader.hpp>
#include <mintknot/control/engine_watcher.hpp>
#include <mintknot/engine/http_engine.hpp>
#include <mintknot/entry/caller_api.hpp>
#include <mintknot/entry/placer.hpp>
#include <mintknot/net/http_server.hpp>
#include <mintknot/operators/operator_api.hpp>
#include <mintknot/supervise/supervisor.hpp>
#include <mintknot/table_service/http_table_client.hpp>

#include <fmt/format.h>

#include <thread>

namespace mintknot::daemon {

namespace {

using supervise::pulse;

constexpr std::size_t changes_kept = 2000;
constexpr std::size_t most_organisation_labels = 64;
constexpr std::size_t most_operator_connections = 128;
constexpr std::size_t most_operator_bytes = 64U * 1024 * 1024;
/// Connections beyond the open requests: idle ones, and refusals.
constexpr std::size_t spare_connections = 256;
constexpr base::milliseconds longest_silence{5000};
constexpr base::milliseconds sweep_period{100};
constexpr base::milliseconds stop_look_period{20};
constexpr base::milliseconds rpc_grace{500};

net::http_server_options caller_options(const config::settings& chosen) {
    net::http_server_options options;
    options.most_connections =
        2 * chosen.caller.most_open_requests + spare_connections;
    options.most_body_bytes = chosen.caller.most_body_bytes;
    options.most_held_bytes = chosen.caller.most_held_bytes;
    options.certificate_file = chosen.caller.tls.certificate_file;
    options.private_key_file = chosen.caller.tls.private_key_file;
    return options;
}

net::http_server_options operator_options(const config::settings& chosen) {
    net::http_server_options options;
    options.most_connections = most_operator_connections;
    options.most_held_bytes = most_operator_bytes;
    options.certificate_file = chosen.operators.tls.certificate_file;
    options.private_key_file = chosen.operators.tls.private_key_file;
    return options;
}

control::control_options control_options_of(const config::settings& chosen) {
    control::control_options options;
    const auto incarnation =
        static_cast<std::uint64_t>(base::wall_now().time_since_epoch().count());
    options.self.id = {chosen.data_centre, chosen.instance, incarnation};
    options.self.rpc = chosen.peers.rpc;
    options.self.heartbeat = chosen.peers.heartbeat;
    options.membership.interval = chosen.peers.heartbeat_interval;
    options.membership.gone_after = chosen.peers.gone_after;
    options.membership.seeds = chosen.peers.seeds;
    return options;
}

entry::registry_options registry_options_of(const config::settings& chosen) {
    return {chosen.caller.most_open_requests, chosen.caller.resume_grace};
}

/// Wraps a part that takes a stop token and a sign of life.
template<class Part> supervise::child child_for(std::string name, Part& part) {
    return {
        std::move(name),
        [&part](const std::stop_token& stop, pulse& beat) {
            part.run(stop, [&beat] { beat.beat(); });
        },
        longest_silence};
}

} // namespace

/// The order of the members is the order in which they depend on each other.
struct instance::impl {
    explicit impl(const config::settings& given);

    const config::settings chosen;
    const base::logger log{"daemon"};
    audit::decision_log decisions;
    metrics::traffic_metrics metrics{most_organisation_labels};
    table_service::http_table_client platform;
    config::change_feed feed{changes_kept};
    config::config_store store;
    claims::claim_writer claim_writer;
    claims::claim_ledger ledger;
    claims::claim_sweeper sweeper;
    engine::http_engine engines;
    rpc::peer_client peers;
    cluster::datagram_socket datagrams;
    control::control_loop control;
    control::config_reader reader;
    entry::request_registry registry;
    entry::cancel_queue cancels;
    entry::progress_reporter reporter;
    entry::placer placer;
    entry::request_runner runner;
    entry::plain_router plain;
    control::engine_watcher watcher;
    entry::remote_streams remote;
    net::elastic_pool workers;
    entry::caller_api callers;
    operators::operator_api operators;
    peer_answers answers;
    rpc::peer_server peer_server;
    supervise::supervisor control_group{"control", {}};
    supervise::supervisor platform_group{"platform", {}};
    supervise::supervisor traffic_group{"traffic", {}};
    supervise::supervisor root{"root", {}};
    net::http_server caller_server;
    net::http_server operator_server;
    std::jthread root_thread;

    void build_tree();
    void receive_datagrams(const std::stop_token& stop);
    void sweep(const std::stop_token& stop, pulse& beat);
    void update_state();
    std::vector<supervise::child_status> status() const;
    operators::readiness is_ready() const;
    std::optional<std::uint64_t> incarnation_of(const std::string& engine);
    control::watcher_parts watcher_parts_for();
    operators::operator_parts operator_parts_for();
    void wait_for_balancers(const std::function<bool()>& hurry) const;
    bool wait_for_requests(const std::function<bool()>& hurry);
};

instance::impl::impl(const config::settings& given)
    : chosen(given)
    , decisions(given.decisions_kept)
    , platform(given.platform.where, given.platform.timeout)
    , store(platform, given.platform.log_kept)
    , claim_writer(platform, {})
    , ledger(platform, claim_writer)
    , sweeper(platform, {given.platform.claims_kept})
    , control(
          control_options_of(given), feed,
          [this](const base::address& where, const std::string& bytes) {
              datagrams.send(where, bytes);
          })
    , reader(feed, store, control, peers, given.platform.poll_interval)
    , registry(registry_options_of(given))
    , cancels(
          engines,
          [this](const std::string& name) { return incarnation_of(name); })
    , reporter(control, peers)
    , placer(feed, control, peers)
    , runner(
          {engines,
           [this](routing::place_query query) {
               return placer.place(std::move(query));
           },
           [this](
               const entry::scheduler_location& where, routing::progress line) {
               reporter.report(where, std::move(line));
           },
           cancels, decisions, metrics},
          {base::to_string(control.view()->self), given.engines.idle_timeout})
    , plain(feed, control, ledger, decisions)
    , watcher(
          watcher_parts_for(),
          {given.engines.report_interval, given.engines.orphan_grace})
    , remote(
          {control, peers, engines, decisions,
           [this](const std::string& request) {
               return watcher.find_stream(request);
           },
           given.engines.idle_timeout})
    , workers(2 * given.caller.most_open_requests)
    , callers(
          {feed, control, remote, registry, runner, plain, decisions, workers})
    , operators(operator_parts_for())
    , answers(control, feed, decisions, registry, watcher, callers)
    , peer_server(answers)
    , caller_server(caller_options(given))
    , operator_server(operator_options(given)) {
    build_tree();
    callers.add_routes(caller_server.routes());
    operators.add_health_routes(caller_server.routes());
    operators.add_routes(operator_server.routes());
}

control::watcher_parts instance::impl::watcher_parts_for() {
    return {
        feed,
        control,
        engines,
        peers,
        [this](const std::string& attempt) {
            return registry.knows_attempt(attempt);
        },
        [this](
            const std::string& engine, const base::address& where,
            const std::string& attempt, const std::string& holder) {
            audit::decision record;
            record.request = attempt.substr(0, attempt.rfind('.'));
            record.kind = audit::decision_kind::cancel;
            record.code = base::reason::orphaned;
            record.choice = engine;
            record.sentence = fmt::format(
                "attempt {} is held for {}, which is gone or does not know it",
                attempt, holder);
            decisions.record(std::move(record));
            cancels.add({engine, where, attempt});
        }};
}

operators::operator_parts instance::impl::operator_parts_for() {
    return {
        chosen.operators.keys,
        feed,
        store,
        control,
        peers,
        decisions,
        metrics,
        [this] { reader.hurry(); },
        [this] { return is_ready(); },
        [this] { return status(); }};
}

std::optional<std::uint64_t>
instance::impl::incarnation_of(const std::string& engine) {
    if (!feed.current()->backend_servers().contains(engine))
        return std::nullopt;
    const auto view = control.view();
    const auto load = view->loads.find(engine);
    return load == view->loads.end() ? 0 : load->second.incarnation;
}

void instance::impl::build_tree() {
    control_group.add(child_for("loop", control));
    control_group.add(
        {"heartbeats", [this](const std::stop_token& stop, pulse&) {
             receive_datagrams(stop);
         }});
    control_group.add(child_for("progress", reporter));
    platform_group.add(child_for("config-reader", reader));
    platform_group.add(
        {"claim-writer", [this](const std::stop_token& stop, pulse&) {
             claim_writer.run(stop);
         }});
    platform_group.add(
        {"claim-sweeper", [this](const std::stop_token& stop, pulse&) {
             sweeper.run(stop, [this] {
                 return control::does_job(*control.view(), "claim-sweeper");
             });
         }});
    traffic_group.add(child_for("engine-watcher", watcher));
    traffic_group.add(child_for("cancels", cancels));
    traffic_group.add(
        {"sweeper",
         [this](const std::stop_token& stop, pulse& beat) {
             sweep(stop, beat);
         },
         longest_silence});
    for (auto* group : {&control_group, &platform_group, &traffic_group})
        root.add({"group", [group](const std::stop_token& stop, pulse& beat) {
                      group->run(stop, beat);
                  }});
}

void instance::impl::receive_datagrams(const std::stop_token& stop) {
    const std::stop_callback end(stop, [this] { datagrams.stop(); });
    datagrams.run(
        [this](std::string_view bytes) { control.take_datagram(bytes); });
}

void instance::impl::sweep(const std::stop_token& stop, pulse& beat) {
    std::mutex mutex;
    std::condition_variable_any stopped;
    std::unique_lock lock(mutex);
    while (!stop.stop_requested()) {
        registry.sweep();
        update_state();
        beat.beat();
        stopped.wait_for(lock, stop, sweep_period, [] { return false; });
    }
}

/// Becomes ready once a configuration is there, and keeps the gauges.
void instance::impl::update_state() {
    if (callers.current_admission() == entry::admission::not_ready &&
        feed.ready()) {
        callers.set_admission(entry::admission::open);
        control.set_state(cluster::member_state::ready);
        log.info("Ready with revision {}.", feed.current()->revision());
    }
    metrics.set_open(registry.open());
    metrics.set_instances(control.view()->live.size());
    metrics.set_config_revision(feed.current()->revision());
}

std::vector<supervise::child_status> instance::impl::status() const {
    std::vector<supervise::child_status> all;
    for (const auto* group :
         {&root, &control_group, &platform_group, &traffic_group}) {
        auto children = group->status();
        std::move(children.begin(), children.end(), std::back_inserter(all));
    }
    return all;
}

operators::readiness instance::impl::is_ready() const {
    if (callers.current_admission() == entry::admission::not_ready)
        return {false, "no configuration yet"};
    if (callers.current_admission() != entry::admission::open)
        return {false, "stopping"};
    for (const supervise::child_status& child : status())
        if (child.state == supervise::child_state::hung ||
            child.state == supervise::child_state::given_up)
            return {false, "part " + child.name + " does not run"};
    return {true, "ready"};
}

/// Takes requests for a while longer: balancers notice late that the instance
/// is not ready any more.
void instance::impl::wait_for_balancers(
    const std::function<bool()>& hurry) const {
    const auto until = base::steady_clock::now() + chosen.stop_accept;
    while (base::steady_clock::now() < until && !hurry())
        std::this_thread::sleep_for(stop_look_period);
}

bool instance::impl::wait_for_requests(const std::function<bool()>& hurry) {
    const auto deadline = base::steady_clock::now() + chosen.stop_deadline;
    while (registry.open() > 0 || cancels.size() > 0) {
        if (hurry() || base::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(stop_look_period);
    }
    return true;
}

instance::instance(const config::settings& chosen)
    : impl_(std::make_unique<impl>(chosen)) {}

instance::~instance() = default;

absl::Status instance::start() {
    if (auto status = impl_->datagrams.open(impl_->chosen.peers.heartbeat);
        !status.ok())
        return status;
    if (auto status = impl_->peer_server.start(impl_->chosen.peers.rpc);
        !status.ok())
        return status;
    auto port = impl_->operator_server.start(impl_->chosen.operators.listen);
    if (!port.ok())
        return port.status();
    port = impl_->caller_server.start(impl_->chosen.caller.listen);
    if (!port.ok())
        return port.status();
    impl_->root_thread = std::jthread([this](const std::stop_token& stop) {
        pulse beat;
        try {
            impl_->root.run(stop, beat);
        } catch (const std::exception& error) {
            impl_->log.error(
                "The instance is no longer ready: {}.", error.what());
        }
    });
    impl_->log.info(
        "Instance {} started.", base::to_string(impl_->control.view()->self));
    return absl::OkStatus();
}

bool instance::stop(const std::function<bool()>& hurry) {
    impl_->log.info("Stopping: {} requests are open.", impl_->registry.open());
    impl_->control.set_state(cluster::member_state::leaving);
    impl_->callers.set_admission(entry::admission::closing);
    impl_->wait_for_balancers(hurry);
    impl_->callers.set_admission(entry::admission::stopping);
    const bool whole = impl_->wait_for_requests(hurry);
    if (!whole)
        for (const auto& request : impl_->registry.all())
            request->cancel(base::reason::stopping);
    impl_->feed.stop();
    impl_->caller_server.stop();
    impl_->operator_server.stop();
    impl_->workers.shutdown();
    impl_->peer_server.stop(rpc_grace);
    impl_->root_thread.request_stop();
    impl_->root_thread.join();
    impl_->log.info("Stopped.");
    return whole;
}

} // namespace mintknot::daemon
