#include "document_sync.hpp"

#include <algorithm>
#include <utility>

namespace mintknot::runtime {

namespace {

using state::collection;

/// In a group with super-peers, changes are collected for the drain bound
/// divided by this number before they are fetched: once by a reader and once by
/// its followers. With 0.3 s the ten readers of 986 instances made 965 calls to
/// the store on a calm day.
constexpr int batches_per_drain_bound = 5;
/// In a large group, time to wait for changes of servers from readers before a
/// snapshot is fetched.
constexpr base::milliseconds large_group_patience{1200};
/// Bounds the snapshots in memory: those of thousands of servers are large, and
/// a hundred instances that start together may all ask the same one.
constexpr std::size_t snapshot_bytes_per_ms = 1000;
constexpr base::milliseconds max_snapshots_ahead{1500};

state::reader_options
options_for(const policy::staleness_bounds& times, base::milliseconds watch) {
    state::reader_options options;
    options.wait = std::min(options.wait, watch);
    options.max_backoff = std::min(options.max_backoff, times.retry_pause);
    return options;
}

} // namespace

document_sync::document_sync(
    const document_ports& ports, const document_options& options,
    document_handlers handlers)
    : owner_(ports.loop)
    , log_(ports.log)
    , drain_bound_(options.drain_bound)
    , configuration_bounds_(
          policy::staleness_bounds_for(options.configuration_bound))
    , server_bounds_(policy::staleness_bounds_for(options.drain_bound))
    , handlers_(std::move(handlers))
    , replica_(ports.codec, ports.log, make_replica_handlers())
    , store_(
          ports.loop, ports.store, ports.pool, ports.log,
          {options.peer.host, options.peer.port, options.store_access,
           [this](collection what) { return overdue_from(what); }})
    , configuration_reader_(
          ports.loop, store_, replica_, collection::configuration, ports.log,
          options_for(
              configuration_bounds_, configuration_bounds_.unfollowed_watch),
          ports.draw)
    , server_reader_(
          ports.loop, store_, replica_, collection::servers, ports.log,
          options_for(server_bounds_, server_bounds_.peer_checked_watch),
          ports.draw)
    , feed_(
          ports.loop, replica_,
          [this](collection what) { return reader_of(what).position(); },
          [this](collection what) { return reader_of(what).confirmed(); })
    , lapsed_(
          ports.loop, ports.log, options.drain_bound,
          [this](const std::string& id, std::uint64_t version) {
              handlers_.on_server(id, version, std::nullopt);
          },
          [this] { return handlers_.servers_in_use(); })
    , fetcher_(
          ports.loop, ports.pool, replica_, ports.log, options.peer.port,
          options.data_centre, [this] { on_snapshot_taken(); })
    , start_delay_(ports.loop)
    , history_timer_(ports.loop)
    , has_peers_(options.has_peers) {
    server_reader_.on_return([this] { lapsed_.store_returned(); });
    server_reader_.on_position([this] { on_server_position(); });
    configuration_reader_.on_position([this] { on_configuration_position(); });
}

const state::store_reader& document_sync::reader_of(collection what) const {
    return what == collection::configuration ? configuration_reader_
                                             : server_reader_;
}

std::optional<base::steady_time>
document_sync::overdue_from(collection what) const {
    const auto confirmed = reader_of(what).confirmed();
    if (!confirmed)
        return std::nullopt;
    const policy::staleness_bounds& times = what == collection::configuration
                                                ? configuration_bounds_
                                                : server_bounds_;
    return *confirmed + times.max_age;
}

void document_sync::on_configuration_position() {
    const auto confirmed = configuration_reader_.confirmed();
    if (confirmed && handlers_.on_confirmed)
        handlers_.on_confirmed(*confirmed);
    feed_.confirmed(collection::configuration);
}

void document_sync::on_server_position() {
    const auto confirmed = server_reader_.confirmed();
    if (confirmed && handlers_.on_servers_confirmed)
        handlers_.on_servers_confirmed(*confirmed);
    // Followers are answered immediately, even if nothing has changed:
    // otherwise each instance on the path would add its wait to the age of its
    // data.
    feed_.confirmed(collection::servers);
    if (!server_reader_.position())
        return;
    catching_up_ = false;
    if (handlers_.on_servers_known)
        handlers_.on_servers_known();
}

state::replica_handlers document_sync::make_replica_handlers() {
    return {
        [this](std::shared_ptr<const traffic::configuration> config) {
            take(std::move(config));
        },
        [this](
            const std::string& id, std::uint64_t version,
            std::optional<traffic::server> server) {
            if (!server) {
                lapsed_.gone(id, version, server_reader_.confirmed());
                return;
            }
            lapsed_.back(id);
            handlers_.on_server(id, version, std::move(server));
        },
        [this](const std::string& data_centre, bool closed) {
            if (handlers_.on_closure)
                handlers_.on_closure(data_centre, closed);
        },
        [this](const std::string& id) {
            if (handlers_.on_draining)
                handlers_.on_draining(id);
        }};
}

void document_sync::take(std::shared_ptr<const traffic::configuration> config) {
    if (!awaits_history()) {
        handlers_.on_configuration(std::move(config));
        return;
    }
    held_configuration_ = std::move(config);
    if (history_timer_.active())
        return;
    held_since_ = owner_.now();
    release_configuration();
}

bool document_sync::awaits_history() const {
    return has_peers_ && !history_wait_over_ && replica_.lacks_history();
}

void document_sync::on_snapshot_taken() {
    told_history_ = replica_.lacks_history() ? policy::told_history::ignorance
                                             : policy::told_history::all;
    release_configuration();
}

void document_sync::release_configuration() {
    if (held_configuration_ == nullptr)
        return;
    const base::steady_time due =
        held_since_ + policy::max_history_wait(told_history_);
    if (awaits_history() && owner_.now() < due) {
        history_timer_.start(due, [this] { release_configuration(); });
        return;
    }
    history_wait_over_ = awaits_history();
    if (history_wait_over_)
        replica_.accept_any_history();
    history_timer_.stop();
    const auto waited = std::chrono::duration_cast<base::milliseconds>(
        owner_.now() - held_since_);
    log_.write(
        "history_awaited",
        {{"for_ms", waited.count()}, {"found", !history_wait_over_}});
    handlers_.on_configuration(std::exchange(held_configuration_, nullptr));
}

void document_sync::start(base::milliseconds delay) {
    if (delay.count() > 0)
        start_delay_.start(delay, [this] { start_reading(); });
    else
        start_reading();
}

void document_sync::start_reading() {
    start_delay_.stop();
    reading_ = true;
    configuration_reader_.start();
    if (scope_ == document_scope::everything)
        server_reader_.start();
}

void document_sync::set_scope(document_scope scope) {
    const bool changed = scope != std::exchange(scope_, scope);
    if (changed && scope == document_scope::configuration)
        stop_following_servers();
    if (!reading_)
        start_reading();
    else if (changed && scope == document_scope::everything)
        resume_following_servers();
}

/// What was told again for a reader that has not caught up goes too.
void document_sync::stop_following_servers() {
    server_reader_.stop();
    if (handlers_.on_servers_forgotten)
        handlers_.on_servers_forgotten();
}

/// The table from before the pause may be outdated. It is used again once the
/// reader has caught up.
void document_sync::resume_following_servers() {
    catching_up_ = true;
    replica_.tell_servers_again();
    server_reader_.start();
}

void document_sync::stop() {
    start_delay_.stop();
    configuration_reader_.stop();
    server_reader_.stop();
}

void document_sync::use_large_group_pace() {
    configuration_reader_.set_wait(configuration_bounds_.relayed_watch);
    server_reader_.set_wait(server_bounds_.relayed_watch);
    fetcher_.set_server_patience(large_group_patience);
}

void document_sync::use_fleet_pace() {
    server_reader_.set_gather(drain_bound_ / batches_per_drain_bound);
}

void document_sync::on_heartbeat(
    const std::string& host, const peers::heartbeat& heartbeat) {
    fetcher_.on_heartbeat(host, heartbeat);
}

void document_sync::answer(
    const http1::request_head& head, relay::local_reply reply) {
    if (const auto wanted = state::change_request_from(head.target))
        feed_.ask(*wanted, std::move(reply));
    else if (head.target == snapshot_path)
        reply(snapshot({collection::configuration, collection::servers}));
    else if (head.target == configuration_snapshot_path)
        reply(snapshot({collection::configuration}));
    else
        reply({404, "text/plain", "unknown path\n"});
}

relay::local_answer
document_sync::snapshot(const std::vector<collection>& parts) {
    const base::steady_time now = owner_.now();
    if (snapshot_budget_used_until_ > now + max_snapshots_ahead)
        return {503, "text/plain", "busy\n"};
    std::string text = replica_.snapshot(parts);
    snapshot_budget_used_until_ = std::max(snapshot_budget_used_until_, now) +
                                  base::milliseconds(static_cast<std::int64_t>(
                                      text.size() / snapshot_bytes_per_ms));
    return {200, "application/json", std::move(text)};
}

std::uint64_t document_sync::version(collection what) const {
    return replica_.version(what);
}

bool document_sync::known() const {
    return replica_.known(collection::configuration) &&
           replica_.known(collection::servers);
}

bool document_sync::knows_servers() const {
    return scope_ == document_scope::everything && !catching_up_ &&
           replica_.known(collection::servers);
}

base::milliseconds document_sync::silence() const {
    return configuration_reader_.silence();
}

} // namespace mintknot::runtime
