#include "snapshot_fetcher.hpp"

namespace mintknot::runtime {

namespace {

/// How long to wait for a newer configuration from the store.
constexpr base::milliseconds configuration_patience{150};
/// Between two fetches.
constexpr base::milliseconds min_fetch_interval{250};
/// Snapshots of thousands of servers take seconds on slow links.
constexpr base::milliseconds call_timeout{4000};
const upstream::call_options answer_bounds{
    .answer_body_bytes = state::max_answer_bytes};
/// Factor on the wait before a peer of another data centre is asked.
constexpr int remote_peer_factor = 2;

} // namespace

snapshot_fetcher::snapshot_fetcher(
    event::loop& owner, upstream::connection_pool& pool, state::replica& target,
    logging::line_log& log, std::uint16_t port, std::string data_centre,
    std::function<void()> on_taken)
    : owner_(owner)
    , pool_(pool)
    , target_(target)
    , log_(log)
    , port_(port)
    , data_centre_(std::move(data_centre))
    , on_taken_(std::move(on_taken))
    , limit_(owner) {}

void snapshot_fetcher::set_server_patience(base::milliseconds patience) {
    server_patience_ = patience;
}

bool snapshot_fetcher::lag::lasts(
    bool ahead, base::steady_time now, base::milliseconds patience) {
    if (!ahead) {
        since.reset();
        return false;
    }
    if (!since)
        since = now;
    return now - *since >= patience;
}

bool snapshot_fetcher::is_ahead(
    state::collection what, std::uint64_t version) const {
    return !target_.known(what) || version > target_.version(what);
}

void snapshot_fetcher::on_heartbeat(
    const std::string& host, const peers::heartbeat& heartbeat) {
    using state::collection;
    const base::steady_time now = owner_.now();
    // A peer without a configuration has no useful snapshot.
    const bool has_documents = heartbeat.configuration > 0;
    const int factor =
        heartbeat.data_centre == data_centre_ ? 1 : remote_peer_factor;
    const bool configuration_due = configuration_lag_.lasts(
        has_documents &&
            is_ahead(collection::configuration, heartbeat.configuration),
        now, configuration_patience * factor);
    const bool servers_due = servers_lag_.lasts(
        has_documents && is_ahead(collection::servers, heartbeat.servers), now,
        server_patience_ * factor);
    if (call_ != nullptr || now - last_fetch_ < min_fetch_interval)
        return;
    const auto lacks_history = [&](collection what) {
        return has_documents && target_.lacks_history(what);
    };
    if (servers_due || lacks_history(collection::servers))
        fetch(host, snapshot_path);
    else if (configuration_due || lacks_history(collection::configuration))
        fetch(host, configuration_snapshot_path);
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
        pool_, {"peer " + host, {host, port_}}, std::move(request),
        answer_bounds,
        {nullptr, [this](http1::response_head& head) { status_ = head.status; },
         [this](std::string_view piece) { body_.append(piece); },
         [this, host] { finish(host, status_ == 200); },
         [this, host](upstream::call_failure) { finish(host, false); }});
    limit_.start(call_timeout, [this, host] { finish(host, false); });
}

void snapshot_fetcher::finish(const std::string& host, bool complete) {
    limit_.stop();
    call_.reset();
    const absl::Status applied =
        complete ? target_.apply_snapshot(body_, "peer " + host)
                 : absl::UnavailableError("no answer");
    log_.write(
        "snapshot", {{"peer", host},
                     {"taken", applied.ok()},
                     {"bytes", static_cast<std::int64_t>(body_.size())}});
    configuration_lag_ = {};
    servers_lag_ = {};
    body_.clear();
    if (applied.ok())
        on_taken_();
}

} // namespace mintknot::runtime
