#include "repeat_lending.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/policy/group.hpp>
#include <mintknot/policy/retry_quota.hpp>

#include <algorithm>

namespace mintknot::runtime {

namespace {

/// Peers that each request is sent to. Some have nothing to lend: in a group in
/// which one instance needs three retries for each of its requests, it was
/// granted 0.83 of them (test_retry_quota.cpp).
constexpr std::size_t max_peers_asked = 4;
/// Between two requests for a service: some dozen round trips, and at most 16
/// datagrams per second.
constexpr base::milliseconds request_interval{250};

} // namespace

repeat_lending::repeat_lending(
    relay::router_context& router, lending_ports ports)
    : router_(router)
    , ports_(std::move(ports))
    , last_number_(base::random_bits()) {}

void repeat_lending::ask(const std::string& service, int repeats) {
    const base::steady_time now = router_.loop.now();
    const auto before = last_request_.find(service);
    if (before != last_request_.end() &&
        now - before->second < request_interval)
        return;
    last_request_[service] = now;
    drop_expired_requests(now);
    std::vector<std::string> hosts = ports_.peers();
    base::keep_some(hosts, max_peers_asked);
    const std::uint64_t number = ++last_number_;
    pending_[number] = {service, now, {hosts.begin(), hosts.end()}};
    const std::string datagram = encode(loan_request{number, service, repeats});
    for (const std::string& host : hosts)
        ports_.send(host, datagram);
}

bool repeat_lending::receive(
    const std::string& host, std::string_view datagram) {
    const auto value = decode_loan(datagram);
    if (!value.ok())
        return false;
    std::visit([&](const auto& known) { on_message(host, known); }, *value);
    return true;
}

void repeat_lending::on_message(
    const std::string& host, const loan_request& request) {
    if (!policy::is_large_group(router_.state.instances))
        return;
    const auto found = router_.state.retry_allowances.find(request.service);
    if (found == router_.state.retry_allowances.end())
        return;
    const int repeats = policy::lend_retries(
        found->second, router_.state.retry_bounds,
        relay::spend_terms_for(router_, request.service), request.repeats,
        router_.loop.now());
    if (repeats == 0)
        return;
    lent_ += repeats;
    ports_.send(host, encode(loan_offer{request.number, repeats}));
}

void repeat_lending::on_message(
    const std::string& host, const loan_offer& offer) {
    const auto found = pending_.find(offer.number);
    if (found == pending_.end() || found->second.hosts.erase(host) == 0)
        return;
    const pending_request& asked = found->second;
    const int taken = policy::add_borrowed_retries(
        router_.state.retry_allowances[asked.service], offer.repeats,
        asked.asked, router_.loop.now());
    borrowed_ += taken;
    router_.log.write(
        "repeats_borrowed", {{"service", asked.service},
                             {"from", host},
                             {"repeats", std::int64_t{taken}}});
}

void repeat_lending::drop_expired_requests(base::steady_time now) {
    std::erase_if(pending_, [now](const auto& item) {
        return now - item.second.asked > policy::loan_lifetime;
    });
}

} // namespace mintknot::runtime
