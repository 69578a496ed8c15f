/// @file
/// What the parts of an instance tell each other.

#include "instance_impl.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/policy/capacity_sharing.hpp>
#include <mintknot/policy/staleness_bounds.hpp>
#include <mintknot/relay/server_notices.hpp>

#include <fmt/format.h>

#include <unistd.h>

namespace mintknot::runtime {

instance::impl::impl(instance_settings given, instance_ports outside)
    : settings(std::move(given))
    , ports(std::move(outside))
    , log(STDOUT_FILENO, settings.name, {})
    , pool(ports.loop, connect_to_servers())
    , releases(pool, ports.protocol)
    , prober(
          ports.loop, pool, ports.protocol, log,
          [this](const std::string& id) { return check_of(id); },
          [this](const std::string& id, bool passed) {
              policy::note_health_check(
                  context.state.health, id, passed, ports.loop.now());
          })
    , context{ports.loop, pool,     ports.protocol, log,
              metrics,    releases, prober,         settings.relay}
    , entry(context)
    , connector(context, connector_functions())
    , tunnels(context, connector)
    , readiness(
          ports.loop,
          relay::synchronous_handler([this](const http1::request_head&) {
              return readiness_answer();
          }))
    , metrics_server(
          ports.loop,
          relay::synchronous_handler(
              [this](const http1::request_head&) { return metrics_answer(); }))
    , peer_server(
          ports.loop,
          [this](const http1::request_head& head, relay::local_reply reply) {
              documents.answer(head, std::move(reply));
          },
          [this](
              const http1::request_head& head,
              const event::connection_ptr& peer) { tunnels.serve(head, peer); })
    , documents(
          {ports.loop, ports.store, ports.codec, pool, log,
           [this] { return context.draw_uniform(); }},
          {settings.peer, settings.data_centre, settings.drain_bound,
           settings.configuration_bound, [this] { return store_access_here(); },
           !settings.seed_hosts.empty()},
          document_functions())
    , group(
          ports.loop, log,
          {settings.peer, settings.data_centre, settings.seed_hosts},
          group_functions())
    , members_of_fleet(
          ports.loop, log, membership_settings(), membership_functions())
    , placer(context, placer_functions())
    , lending(context, lending_functions())
    , server_limits(context, limit_functions())
    , overloads(ports.loop, overload_functions())
    , shedder(context, entry, shedder_functions())
    , accounts(context, account_functions(), settings.usage_bounds)
    , crashes(context, crash_functions())
    , origins(context, origin_functions())
    , balancer(
          context, ports.store, balancer_options(),
          [this] { return looks_after_phases(); })
    , demands(context, sharing_functions())
    , drain_timer(ports.loop)
    , reloads(
          ports.loop, log, ports.reload,
          [this](const instance_settings& fresh) {
              return fresh.retry_bounds != context.state.retry_bounds ||
                     fresh.usage_bounds != settings.usage_bounds ||
                     fresh.grace != settings.grace;
          },
          [this](const instance_settings& fresh, std::string_view cause) {
              take(fresh, cause);
          }) {
    context.options.named_server_lifetime =
        policy::named_server_lifetime(settings.drain_bound);
    context.state.versions.max_row_age =
        policy::max_table_age(settings.drain_bound);
    context.state.retry_bounds = settings.retry_bounds;
    context.state.instances = policy::assumed_instances(1);
    context.state.started = ports.loop.now();
    context.placement = &placer;
    relay::observe_server_notices(context);
    context.limits = &accounts;
    context.crashes = &crashes;
    context.origins = &origins;
    context.shedder = &shedder;
    context.state.on_retries_low =
        [this](const std::string& service, int repeats) {
            lending.ask(service, repeats);
        };
    context.state.on_limit_received = [this] { server_limits.start_updates(); };
    context.state.on_phase_order = [this] { group.changed(); };
    context.state.on_load_change = [this] {
        if (placer.active())
            placer.loads_changed();
        else
            group.changed();
    };
    context.state.on_load_added = [this] {
        if (placer.active())
            placer.loads_added();
        else
            group.changed();
    };
}

upstream::connect_function instance::impl::connect_to_servers() {
    return [this](
               const upstream::target& where, base::milliseconds timeout,
               upstream::connect_handler on_done) {
        const base::steady_time began = ports.loop.now();
        connector.connect(
            where, timeout,
            [this, began,
             on_done = std::move(on_done)](upstream::connect_outcome outcome) {
                const bool refused =
                    outcome.result == event::connect_result::refused;
                if (!outcome.tunnelled && !refused)
                    context.monitor.note_connect(
                        std::chrono::duration_cast<base::microseconds>(
                            ports.loop.now() - began));
                on_done(std::move(outcome));
            });
    };
}

relay::connector_callbacks instance::impl::connector_functions() {
    return {[this] { return tunnel_peers(); }, settings.peer.port};
}

document_handlers instance::impl::document_functions() {
    return {
        [this](std::shared_ptr<const traffic::configuration> config) {
            context.state.config = std::move(config);
            context.state.capacity_sharing =
                context.state.config != nullptr &&
                policy::shares_capacity(
                    *context.state.config, context.options.callers_compete);
            group.changed();
        },
        [this](
            const std::string& id, std::uint64_t version,
            std::optional<traffic::server> server) {
            on_server(id, version, std::move(server));
        },
        [this] { return traffic::count(context.state.servers); },
        [this](base::steady_time moment) {
            context.state.configuration_confirmed = moment;
        },
        [this] { on_servers_known(); },
        [this](base::steady_time moment) {
            context.state.server_table_confirmed = moment;
            policy::note_complete_view(context.state.versions, moment);
        },
        [this](const std::string& data_centre, bool closed) {
            traffic::set_closed(context.state.servers, data_centre, closed);
            context.queue.notify_capacity_freed();
        },
        [this](const std::string& id) {
            if (traffic::note_leaving(context.state.servers, id))
                log.write(
                    "server_leaving", {{"server", id}, {"source", "snapshot"}});
        },
        [this] { on_servers_forgotten(); }};
}

void instance::impl::on_server(
    const std::string& id, std::uint64_t version,
    std::optional<traffic::server> server) {
    const bool gone = !server;
    const traffic::server* known = traffic::find(context.state.servers, id);
    const bool changed =
        known != nullptr && server.has_value() && known->phase != server->phase;
    const bool reborn = known != nullptr && server.has_value() &&
                        traffic::is_other_life(*known, *server);
    const std::optional<traffic::server> before =
        known == nullptr ? std::nullopt : std::optional(*known);
    if (!traffic::apply(context.state.servers, id, version, std::move(server)))
        return;
    policy::note_server_change(
        context.state.versions, before ? &*before : nullptr,
        traffic::find(context.state.servers, id), ports.loop.now());
    if (changed)
        policy::end_phase_change(context.state.health, id);
    context.queue.notify_capacity_freed();
    if (reborn)
        log.write("server_reborn", {{"server", id}});
    // What an earlier life has shown says nothing of this one.
    if (gone || reborn) {
        crashes.server_replaced(id);
        pool.drop(id);
        policy::forget(context.state.health, id);
        policy::forget(context.state.paths, id);
        policy::forget(context.state.prefill_rates, id);
        policy::forget(context.state.plain_times, id);
    }
    if (!placer.active())
        group.changed();
}

std::function<void(const std::string& host, const std::string& datagram)>
instance::impl::datagram_sender() {
    return [this](const std::string& host, const std::string& datagram) {
        group.send(host, datagram);
    };
}

scheduling::placer_callbacks instance::impl::placer_functions() {
    return {
        settings.peer.host, datagram_sender(),
        [this](const std::string& data_centre) {
            return scheduler_hosts(data_centre);
        },
        [this] { return uses_schedulers(); },
        [this] { return documents.knows_servers(); }};
}

limits::usage_account_callbacks instance::impl::account_functions() {
    return {
        settings.peer.host, datagram_sender(), [this] { return members(); },
        [this] { return !context.state.stopping; },
        [this] {
            return members_of_fleet.role() == policy::group_role::flat
                       ? std::size_t{0}
                       : context.state.instances;
        }};
}

crashes::crash_watch_callbacks instance::impl::crash_functions() {
    return {
        settings.peer.host,
        datagram_sender(),
        [this] { return crash_judges(); },
        [this] {
            return peers::heard_hosts(group.table(), peers::audience::all);
        },
        [this] { return followers(); },
        [this](const std::string& id) { return check_of(id); }};
}

origins::origin_callbacks instance::impl::origin_functions() {
    return {
        datagram_sender(), [this] { return staying_peers(); },
        [this](const std::string& service) {
            return only_version_of(service);
        }};
}

lending_ports instance::impl::lending_functions() {
    return {datagram_sender(), [this] {
                return peers::staying(group.table(), {});
            }};
}

overload_ports instance::impl::overload_functions() {
    return {datagram_sender(), [this] {
                return peers::staying(group.table(), settings.data_centre);
            }};
}

relay::shedder_callbacks instance::impl::shedder_functions() {
    return {
        [this] { return overloads.neighbours(); },
        [this](bool overloaded) { overloads.set_overloaded(overloaded); }};
}

limit_ports instance::impl::limit_functions() {
    return {
        settings.peer.host, datagram_sender(),
        [this](const traffic::server& server, double rate) {
            return token_holders(server, rate);
        },
        [this](const traffic::server& server) {
            return limit_report_recipients(server);
        }};
}

orders::balancer_options instance::impl::balancer_options() const {
    orders::balancer_options options;
    options.holder = fmt::format("{}/{}", settings.name, base::random_token());
    options.terms.length = settings.order_lease;
    return options;
}

void instance::impl::on_datagram(
    const std::string& host, std::string_view datagram) {
    if (!members_of_fleet.receive(host, datagram) &&
        !lending.receive(host, datagram) &&
        !server_limits.receive(host, datagram) &&
        !overloads.receive(host, datagram) &&
        !demands.receive(host, datagram) && !accounts.receive(host, datagram) &&
        !crashes.receive(host, datagram) && !origins.receive(host, datagram))
        placer.receive(host, datagram);
}

orders::sharing_ports instance::impl::sharing_functions() {
    return {datagram_sender(), [this] { return reader_of_demand(); }};
}

std::optional<relay::health_check>
instance::impl::check_of(const std::string& id) const {
    const traffic::server* server = traffic::find(context.state.servers, id);
    if (server == nullptr || context.state.config == nullptr)
        return std::nullopt;
    const auto service = context.state.config->services.find(server->service);
    if (service == context.state.config->services.end())
        return std::nullopt;
    return relay::health_check{
        {server->id, server->where},
        service->second.health_path,
        policy::avoided_until(context.state.health, id),
        policy::rest_end(context.state.health.resting, id)};
}

} // namespace mintknot::runtime
