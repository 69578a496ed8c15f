#include "snapshot_fetcher.hpp"

namespace mintknot::runtime {

namespace {

/// How long the store's own news of a configuration is waited for.
constexpr base::milliseconds configuration_patience{150};
constexpr base::milliseconds shortest_gap{250};
constexpr base::milliseconds call_time{1000};

} // namespace

snapshot_fetcher::snapshot_fetcher(
    event::loop& owner, upstream::connection_pool& pool, state::replica& target,
    logging::line_log& log, std::uint16_t port)
    : owner_(owner)
    , pool_(pool)
    , target_(target)
    , log_(log)
    , port_(port)
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
    const bool nothing_known = !target_.known(state::collection::configuration);
    if (call_ != nullptr || now - last_fetch_ < shortest_gap ||
        (!nothing_known && now - behind_since_ < *patience))
        return;
    fetch(host);
}

void snapshot_fetcher::fetch(const std::string& host) {
    last_fetch_ = owner_.now();
    body_.clear();
    status_ = 0;
    upstream::call_request request;
    request.head.method = "GET";
    request.head.target = snapshot_path;
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
