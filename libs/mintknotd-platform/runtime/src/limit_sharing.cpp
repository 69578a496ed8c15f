#include "limit_sharing.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/relay/server_notices.hpp>

#include <algorithm>

namespace mintknot::runtime {

namespace {

/// Interval between updates while any limit is known.
constexpr base::milliseconds update_period{100};
/// Interval between repeated reports of an unchanged limit.
constexpr base::milliseconds report_period{1000};
/// The end of a limit is reported repeatedly, as datagrams can be lost.
constexpr int end_report_repeats = 3;
/// Interval between token requests for a server; later offers are ignored.
constexpr base::milliseconds request_interval{250};
/// Peers that each token request is sent to.
constexpr std::size_t max_peers_per_request = 2;

} // namespace

limit_sharing::limit_sharing(relay::router_context& router, limit_ports ports)
    : router_(router)
    , ports_(std::move(ports))
    , timer_(router.loop) {}

void limit_sharing::start_updates() {
    if (!timer_.active())
        timer_.start(base::milliseconds{0}, [this] { update(); });
}

void limit_sharing::update() {
    const auto& limits = router_.state.health.limits.servers;
    policy::expire_limits(router_.state.health.limits, router_.loop.now());
    const auto has_no_limit = [&limits](const auto& item) {
        return !limits.contains(item.first);
    };
    std::erase_if(sent_reports_, has_no_limit);
    std::erase_if(requested_at_, has_no_limit);
    for (const auto& [id, limit] : limits)
        update_server(id, limit);
    if (!limits.empty())
        timer_.start(update_period, [this] { update(); });
}

void limit_sharing::update_server(
    const std::string& id, const policy::server_limit& limit) {
    const traffic::server* server = traffic::find(router_.state.servers, id);
    if (server == nullptr)
        return;
    if (limit.rate) {
        const std::vector<std::string> hosts =
            ports_.token_holders(*server, *limit.rate);
        const bool shares =
            std::find(hosts.begin(), hosts.end(), ports_.own_host) !=
            hosts.end();
        policy::set_token_holders(
            router_.state.health.limits, id, shares ? hosts.size() : 0,
            router_.loop.now());
    }
    if (needs_report(id, limit))
        send_report(*server, limit);
    if (policy::needs_borrowed_token(
            router_.state.health.limits, id, router_.loop.now()))
        request_token(*server, *limit.rate);
}

bool limit_sharing::needs_report(
    const std::string& id, const policy::server_limit& limit) {
    const auto found = sent_reports_.find(id);
    if (found == sent_reports_.end())
        return limit.from_own_answer;
    const sent_report& last = found->second;
    if (last.rate != limit.rate)
        return limit.from_own_answer;
    if (router_.loop.now() - last.at < report_period)
        return false;
    return limit.rate ? limit.answered_at > last.at
                      : last.repeats < end_report_repeats;
}

void limit_sharing::send_report(
    const traffic::server& server, const policy::server_limit& limit) {
    const base::steady_time now = router_.loop.now();
    sent_report& last = sent_reports_[server.id];
    last.repeats = last.rate == limit.rate ? last.repeats + 1 : 0;
    last.rate = limit.rate;
    last.at = now;
    const std::string datagram = encode(limit_report{
        server.id, limit.rate,
        std::chrono::duration_cast<base::milliseconds>(
            now - limit.answered_at)});
    for (const std::string& host : ports_.report_recipients(server))
        ports_.send(host, datagram);
}

void limit_sharing::request_token(const traffic::server& server, double rate) {
    const base::steady_time now = router_.loop.now();
    const auto before = requested_at_.find(server.id);
    if (before != requested_at_.end() &&
        now - before->second < request_interval)
        return;
    requested_at_[server.id] = now;
    std::vector<std::string> hosts = ports_.token_holders(server, rate);
    std::erase(hosts, ports_.own_host);
    base::keep_some(hosts, max_peers_per_request);
    const std::string datagram = encode(token_request{server.id});
    for (const std::string& host : hosts)
        ports_.send(host, datagram);
}

bool limit_sharing::receive(
    const std::string& host, std::string_view datagram) {
    const auto value = decode_limit(datagram);
    if (!value.ok())
        return false;
    std::visit([&](const auto& known) { on_message(host, known); }, *value);
    return true;
}

void limit_sharing::on_message(
    const std::string& host, const limit_report& report) {
    const base::steady_time now = router_.loop.now();
    if (policy::note_limit(
            router_.state.health.limits, report.server, report.rate,
            now - report.age, now))
        relay::log_limit(router_, report.server, host);
    start_updates();
}

void limit_sharing::on_message(
    const std::string& host, const token_request& request) {
    const auto& limits = router_.state.health.limits.servers;
    const auto found = limits.find(request.server);
    const traffic::server* server =
        traffic::find(router_.state.servers, request.server);
    if (found == limits.end() || server == nullptr)
        return;
    const base::steady_time now = router_.loop.now();
    if (!found->second.rate) {
        // The peer does not know yet that the limit has ended.
        const auto age = std::chrono::duration_cast<base::milliseconds>(
            now - found->second.answered_at);
        ports_.send(
            host, encode(limit_report{request.server, std::nullopt, age}));
        return;
    }
    if (policy::lend_token(router_.state.health.limits, request.server, now))
        ports_.send(host, encode(token_offer{request.server}));
}

void limit_sharing::on_message(
    const std::string& host, const token_offer& offer) {
    const base::steady_time now = router_.loop.now();
    const auto requested = requested_at_.find(offer.server);
    if (requested == requested_at_.end() ||
        now - requested->second > request_interval)
        return;
    policy::add_borrowed_token(router_.state.health.limits, offer.server, now);
    router_.log.write(
        "token_borrowed", {{"server", offer.server}, {"from", host}});
    router_.queue.notify_capacity_freed();
}

} // namespace mintknot::runtime
