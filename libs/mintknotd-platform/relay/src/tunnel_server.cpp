#include <mintknot/relay/tunnel_server.hpp>

#include "tunnel_protocol.hpp"

#include <mintknot/http1/serialize.hpp>
#include <mintknot/relay/server_notices.hpp>

#include <memory>
#include <unordered_map>
#include <utility>

namespace mintknot::relay {

namespace {

constexpr std::size_t max_tunnels = 256;
/// Less than what a peer waits, so that it hears the result.
constexpr base::milliseconds connect_timeout{150};
constexpr std::string_view opened_head = "HTTP/1.1 200 OK\r\n\r\n";

/// Passes the bytes of two connections to each other.
class tunnel : public std::enable_shared_from_this<tunnel> {
public:
    tunnel(
        event::connection_ptr peer, event::connection_ptr server,
        std::function<std::size_t()> max_unsent,
        std::function<void(tunnel*)> on_end)
        : peer_(std::move(peer))
        , server_(std::move(server))
        , max_unsent_(std::move(max_unsent))
        , on_end_(std::move(on_end)) {}

    void start() {
        // Answers may end with the server's connection; an end of this process
        // must not look like that.
        peer_->reset_unless_closed();
        pass(peer_, server_);
        pass(server_, peer_);
    }

    void reset() {
        if (const auto on_end = std::exchange(on_end_, nullptr)) {
            peer_->reset();
            server_->reset();
            on_end(this);
        }
    }

private:
    void
    pass(const event::connection_ptr& from, const event::connection_ptr& to) {
        from->set_handlers(
            {[self = shared_from_this(), &from, &to](std::string_view bytes) {
                 to->write(std::string(bytes));
                 if (to->queued_bytes() > self->max_unsent_())
                     from->pause_reading();
             },
             [self = shared_from_this(), &from,
              &to](event::connection_end how) {
                 const bool read_all = from->wrote_everything();
                 self->end(*to, read_all ? how : event::connection_end::broken);
             },
             [self = shared_from_this(), &to] { to->resume_reading(); }});
    }

    /// Ends the other side as this one has ended. A side that has not read all
    /// that was sent to it has not ended in an orderly way.
    void end(event::connection& other, event::connection_end how) {
        const auto on_end = std::exchange(on_end_, nullptr);
        if (!on_end)
            return;
        if (how == event::connection_end::orderly)
            other.close();
        else
            other.reset();
        on_end(this);
    }

    event::connection_ptr peer_;
    event::connection_ptr server_;
    /// Bytes of one side above which the other is not read.
    std::function<std::size_t()> max_unsent_;
    std::function<void(tunnel*)> on_end_; ///< Null once it has been called.
};

} // namespace

struct tunnel_server::impl : std::enable_shared_from_this<tunnel_server::impl> {
    impl(router_context& router, server_connector& connects)
        : context(router)
        , connector(connects) {}

    void
    serve(const tunnel_request& request, const event::connection_ptr& peer) {
        const traffic::server* server =
            traffic::find(context.state.servers, request.server_id);
        if (server == nullptr || context.state.stopping ||
            tunnels.size() + connecting >= max_tunnels) {
            reject(peer, tunnel_result::no_path);
            return;
        }
        if (!may_send_to(context, *server)) {
            reject(peer, tunnel_result::unreachable);
            return;
        }
        ++connecting;
        hold(peer);
        connector.connect_directly(
            {server->id, server->where, request.request_id}, connect_timeout,
            [weak = weak_from_this(), request,
             peer](upstream::connect_outcome outcome) {
                if (const auto self = weak.lock())
                    self->on_connected(request, peer, std::move(outcome));
            });
    }

    /// Waits for the server's connection; a peer that leaves is noticed then.
    static void hold(const event::connection_ptr& peer) {
        peer->set_handlers({nullptr, nullptr, nullptr});
        peer->pause_reading();
    }

    void on_connected(
        const tunnel_request& request, const event::connection_ptr& peer,
        upstream::connect_outcome outcome) {
        --connecting;
        if (outcome.link == nullptr) {
            reject(peer, failure_of(outcome.result));
            return;
        }
        ++counters.served;
        context.log.write(
            "tunnel_served", {{"request", request.request_id},
                              {"server", request.server_id},
                              {"peer", peer->peer().host}});
        peer->write(std::string(opened_head));
        const auto opened = std::make_shared<tunnel>(
            peer, std::move(outcome.link),
            [weak = weak_from_this()] {
                const auto self = weak.lock();
                return self == nullptr ? 0 : self->max_unsent();
            },
            [weak = weak_from_this()](tunnel* ended) {
                if (const auto self = weak.lock())
                    self->tunnels.erase(ended);
            });
        tunnels.emplace(opened.get(), opened);
        opened->start();
    }

    /// What an isolated instance cannot reach is no evidence against a server.
    tunnel_result failure_of(event::connect_result result) const {
        if (policy::is_isolated(context.state.paths, context.loop.now()))
            return tunnel_result::no_path;
        return result == event::connect_result::refused
                   ? tunnel_result::refused
                   : tunnel_result::unreachable;
    }

    std::size_t max_unsent() const {
        return policy::max_unsent_bytes(
            2 * tunnels.size(), context.options.max_held_bytes);
    }

    void reject(const event::connection_ptr& peer, tunnel_result result) {
        ++counters.rejected;
        peer->write(http1::text_response(status_of(result), {}, {}, false));
        peer->close();
    }

    router_context& context;
    server_connector& connector;
    std::unordered_map<tunnel*, std::shared_ptr<tunnel>> tunnels;
    std::size_t connecting = 0;
    tunnel_counters counters;
};

tunnel_server::tunnel_server(
    router_context& context, server_connector& connector)
    : impl_(std::make_shared<impl>(context, connector)) {}

tunnel_server::~tunnel_server() = default;

void tunnel_server::serve(
    const http1::request_head& head, const event::connection_ptr& peer) {
    impl_->serve(tunnel_request_of(head), peer);
}

std::size_t tunnel_server::open() const {
    return impl_->tunnels.size() + impl_->connecting;
}

void tunnel_server::close() {
    const auto all = impl_->tunnels;
    for (const auto& [key, open] : all)
        open->reset();
}

const tunnel_counters& tunnel_server::counters() const {
    return impl_->counters;
}

} // namespace mintknot::relay
