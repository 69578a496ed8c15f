#include "connect_attempt.hpp"

#include <utility>

namespace mintknot::relay {

namespace {

/// Between two peers that are asked for the same connection: several round
/// trips.
constexpr base::milliseconds peer_interval{50};

} // namespace

connect_attempt::connect_attempt(
    attempt_services services, upstream::target where,
    base::milliseconds timeout, upstream::connect_handler on_done)
    : services_(std::move(services))
    , where_(std::move(where))
    , timeout_(timeout)
    , deadline_(services_.owner.now() + timeout)
    , on_done_(std::move(on_done))
    , limit_(services_.owner)
    , next_tunnel_(services_.owner) {}

void connect_attempt::start(base::milliseconds before_tunnel) {
    services_.connect_directly(
        where_, timeout_,
        [self = shared_from_this()](upstream::connect_outcome outcome) {
            self->on_direct(std::move(outcome));
        });
    limit_.start(deadline_, [self = shared_from_this()] { self->finish({}); });
    next_tunnel_.start(
        before_tunnel, [self = shared_from_this()] { self->ask_next_peer(); });
}

void connect_attempt::on_direct(upstream::connect_outcome outcome) {
    direct_open_ = false;
    direct_result_ = outcome.result;
    if (outcome.link != nullptr) {
        if (on_done_)
            finish(std::move(outcome));
        else
            services_.keep(where_, std::move(outcome.link));
        return;
    }
    if (open_tunnels_ == 0)
        ask_next_peer();
}

void connect_attempt::ask_next_peer() {
    if (!on_done_)
        return;
    if (!std::exchange(peers_chosen_, true))
        hosts_ = services_.choose_peers();
    if (next_host_ == hosts_.size()) {
        fail_if_exhausted();
        return;
    }
    const std::string host = hosts_[next_host_++];
    ++open_tunnels_;
    open_tunnel(
        services_.owner, {host, services_.peer_port},
        {where_.id, where_.request},
        base::time_left(deadline_, services_.owner.now()),
        [self = shared_from_this(),
         host](event::connection_ptr link, tunnel_result result) {
            self->on_tunnel(host, std::move(link), result);
        });
    next_tunnel_.start(
        peer_interval, [self = shared_from_this()] { self->ask_next_peer(); });
}

void connect_attempt::on_tunnel(
    const std::string& host, event::connection_ptr link, tunnel_result result) {
    --open_tunnels_;
    if (!on_done_) {
        if (link != nullptr)
            link->close();
        return;
    }
    services_.note_tunnel(where_, host, result);
    if (link != nullptr) {
        finish({std::move(link), event::connect_result::opened, true});
        return;
    }
    if (result == tunnel_result::refused) {
        // The server has ended: other peers would be refused as well.
        refused_at_peer_ = true;
        next_host_ = hosts_.size();
    }
    ask_next_peer();
}

void connect_attempt::fail_if_exhausted() {
    if (direct_open_ || open_tunnels_ > 0)
        return;
    const bool refused = direct_result_ == event::connect_result::refused &&
                         (refused_at_peer_ || hosts_.empty());
    finish(
        {nullptr,
         refused ? event::connect_result::refused
                 : event::connect_result::unreachable,
         false});
}

void connect_attempt::finish(upstream::connect_outcome outcome) {
    if (!on_done_)
        return;
    limit_.stop();
    next_tunnel_.stop();
    const upstream::connect_handler on_done = std::exchange(on_done_, nullptr);
    on_done(std::move(outcome));
}

} // namespace mintknot::relay
