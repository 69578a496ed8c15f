#include "snapshot_fetcher.hpp"

namespace mintknot::runtime {

namespace {

/// How long the store's own news of a configuration is waited for.
constexpr base::milliseconds configuration_patience{150};
constexpr base::milliseconds shortest_gap{250};
/// Snapshots of thousands of servers take seconds on slow links.
constexpr base::milliseconds call_time{4000};
/// How much longer a peer of another data centre is waited for.
constexpr int far_patience = 2;

} // namespace

snapshot_fetcher::snapshot_fetcher(
    event::loop& owner, upstream::connection_pool& pool, state::replica& target,
    logging::line_log& log, std::uint16_t port, std::string data_centre)
    : owner_(owner)
    , pool_(pool)
    , target_(target)
    , log_(log)
    , port_(port)
    , data_centre_(std::move(data_centre))
    , limit_(owner) {}

void snapshot_fetcher::set_server_patience(base::milliseconds patience) {
    server_patience_ = patience;
}

std::optional<base::milliseconds>
snapshot_fetcher::patience_for(const peers::heartbeat& heartbeat) const {
    if (heartbeat.configuration >
        target_.version(state::collection::configuration))
        return configuration_patience;
    if (heartbeat.servers > target_.version(state::collection::servers))
        return server_patience_;
    return std::nullopt;
}

void snapshot_fetcher::on_heartbeat(
    const std::string& host, const peers::heartbeat& heartbeat) {
    const base::steady_time now = owner_.now();
    const auto patience = patience_for(heartbeat);
    if (!patience) {
        behind_since_ = {};
        return;
    }
    if (behind_since_ == base::steady_time{})
        behind_since_ = now;
    const int factor = heartbeat.data_centre == data_centre_ ? 1 : far_patience;
    if (call_ != nullptr || now - last_fetch_ < shortest_gap ||
        now - behind_since_ < *patience * factor)
        return;
    const bool servers_known = target_.known(state::collection::servers);
    const bool servers_behind =
        heartbeat.servers > target_.version(state::collection::servers);
    fetch(
        host, servers_known && !servers_behind ? configuration_snapshot_path
                                               : snapshot_path);
}

void snapshot_fetcher::fetch(const std::string& host, std::string_view path) {
    last_fetch_ = owner_.now();
    body_.clear();
    status_ = 0;
    upstream::call_request request;
    request.head.method = "GET";
    request.head.target = std::string(path);
    request.head.fields = {{"Host", host}};
    call_ = upstream::call::start(
        pool_, {"peer " + host, {host, port_}}, std::move(request), {},
        {nullptr, [this](http1::response_head& head) { status_ = head.status; },
         [this](std::string_view piece) { body_.append(piece); },
         [this, host] { finish(host, status_ == 200); },
         [this, host](upstream::call_failure) { finish(host, false); }});
    limit_.start(call_time, [this, host] { finish(host, false); });
}

void snapshot_fetcher::finish(const std::string& host, bool whole) {
    limit_.stop();
    call_.reset();
    const absl::Status taken =
        whole ? target_.apply_snapshot(body_, "peer " + host)
              : absl::UnavailableError("no answer");
    log_.write(
        "snapshot", {{"peer", host},
                     {"taken", taken.ok()},
                     {"bytes", static_cast<std::int64_t>(body_.size())}});
    behind_since_ = {};
    body_.clear();
}

} // namespace mintknot::runtime
