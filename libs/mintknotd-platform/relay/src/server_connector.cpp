#include <mintknot/relay/server_connector.hpp>

#include "connect_attempt.hpp"

#include <string>
#include <utility>

namespace mintknot::relay {

namespace {

std::string_view to_string(event::connect_result result) {
    switch (result) {
    case event::connect_result::opened:
        return "opened";
    case event::connect_result::refused:
        return "refused";
    case event::connect_result::unreachable:
        return "unanswered";
    }
    return "unknown";
}

} // namespace

struct server_connector::impl
    : std::enable_shared_from_this<server_connector::impl> {
    impl(router_context& router, connector_callbacks functions)
        : context(router)
        , callbacks(std::move(functions)) {}

    base::steady_time now() const { return context.loop.now(); }

    void connect(
        const upstream::target& where, base::milliseconds timeout,
        upstream::connect_handler on_done) {
        if (traffic::find(context.state.servers, where.id) == nullptr) {
            open(where, timeout, std::move(on_done));
            return;
        }
        std::make_shared<connect_attempt>(
            services(), where, timeout, std::move(on_done))
            ->start(policy::time_before_tunnel(
                context.state.paths, where.id, timeout, now()));
    }

    void connect_directly(
        const upstream::target& where, base::milliseconds timeout,
        upstream::connect_handler on_done) {
        open(
            where, timeout,
            [self = shared_from_this(), where,
             on_done = std::move(on_done)](upstream::connect_outcome outcome) {
                self->note_direct(where, outcome);
                on_done(std::move(outcome));
            });
    }

    void open(
        const upstream::target& where, base::milliseconds timeout,
        upstream::connect_handler on_done) const {
        event::connect(
            context.loop, where.where, timeout,
            [on_done = std::move(on_done)](
                event::connection_ptr link, event::connect_result result) {
                on_done({std::move(link), result, false});
            });
    }

    void note_direct(
        const upstream::target& where,
        const upstream::connect_outcome& outcome) {
        if (outcome.link != nullptr) {
            policy::note_direct_success(context.state.paths, where.id, now());
            update_isolation(where, outcome.result);
            return;
        }
        policy::note_direct_failure(context.state.paths, where.id, now());
        update_isolation(where, outcome.result);
        if (outcome.result == event::connect_result::unreachable)
            drop_kept_connections(where);
    }

    void update_isolation(
        const upstream::target& where, event::connect_result result) {
        const bool isolated = policy::is_isolated(context.state.paths, now());
        if (isolated == was_isolated)
            return;
        was_isolated = isolated;
        context.log.write(
            isolated ? "path_lost" : "path_regained",
            {{"request", where.request},
             {"server", where.id},
             {"result", to_string(result)}});
    }

    /// Connections that were open may hang as new ones do.
    void drop_kept_connections(const upstream::target& where) {
        context.pool.drop(where.id);
        if (!was_isolated)
            return;
        for (const std::string& id : context.pool.idle_servers())
            if (traffic::find(context.state.servers, id) != nullptr)
                context.pool.drop(id);
    }

    void note_tunnel(
        const upstream::target& where, const std::string& host,
        tunnel_result result) {
        if (result == tunnel_result::no_path) {
            ++counters.tunnels_failed;
            policy::note_tunnel_failure(context.state.paths, host, now());
            return;
        }
        if (result != tunnel_result::opened)
            return;
        ++counters.tunnels_opened;
        policy::note_tunnel_success(context.state.paths, where.id, host, now());
        context.log.write(
            "tunnel", {{"request", where.request},
                       {"server", where.id},
                       {"peer", host},
                       {"isolated", was_isolated},
                       {"direct_failed_ms_ago", time_since_failure(where.id)}});
    }

    /// @return the time since the server was last not reached directly;
    /// negative if the own connection is still awaited.
    std::int64_t time_since_failure(const std::string& id) const {
        const auto found = context.state.paths.lost.find(id);
        if (found == context.state.paths.lost.end() ||
            found->second.failure == base::steady_time{})
            return -1;
        return std::chrono::duration_cast<base::milliseconds>(
                   now() - found->second.failure)
            .count();
    }

    void keep(const upstream::target& where, event::connection_ptr link) const {
        context.pool.give(
            where.id, std::move(link), upstream::default_idle_time);
    }

    attempt_services services() {
        const auto self = shared_from_this();
        return {
            context.loop,
            [self](
                const upstream::target& where, base::milliseconds timeout,
                upstream::connect_handler on_done) {
                self->connect_directly(where, timeout, std::move(on_done));
            },
            [self] {
                return policy::choose_tunnel_peers(
                    self->context.state.paths, self->callbacks.peers(),
                    self->now(), [&context = self->context] {
                        return context.draw_uniform();
                    });
            },
            callbacks.peer_port,
            [self](
                const upstream::target& where, const std::string& host,
                tunnel_result result) {
                self->note_tunnel(where, host, result);
            },
            [self](const upstream::target& where, event::connection_ptr link) {
                self->keep(where, std::move(link));
            }};
    }

    router_context& context;
    connector_callbacks callbacks;
    connector_counters counters;
    bool was_isolated = false;
};

server_connector::server_connector(
    router_context& context, connector_callbacks callbacks)
    : impl_(std::make_shared<impl>(context, std::move(callbacks))) {}

server_connector::~server_connector() = default;

void server_connector::connect(
    const upstream::target& where, base::milliseconds timeout,
    upstream::connect_handler on_done) {
    if (where.directly)
        impl_->connect_directly(where, timeout, std::move(on_done));
    else
        impl_->connect(where, timeout, std::move(on_done));
}

void server_connector::connect_directly(
    const upstream::target& where, base::milliseconds timeout,
    upstream::connect_handler on_done) {
    impl_->connect_directly(where, timeout, std::move(on_done));
}

const connector_counters& server_connector::counters() const {
    return impl_->counters;
}

} // namespace mintknot::relay
