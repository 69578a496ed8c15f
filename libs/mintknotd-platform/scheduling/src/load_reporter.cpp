#include "load_reporter.hpp"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace mintknot::scheduling {

namespace {

/// Finds the schedulers of servers; the hosts are hashed once a domain.
class domain_hosts {
public:
    domain_hosts(
        const relay::router_context& context,
        const scheduler_directory& directory)
        : context_(context)
        , directory_(directory) {}

    /// @return nobody for a server that is not known.
    const policy::domain_schedulers& of(const std::string& server_id) const {
        const traffic::server* server =
            traffic::find(context_.state.servers, server_id);
        if (server == nullptr)
            return nobody_;
        const policy::domain which =
            policy::domain_of(context_.state.servers, *server);
        for (const auto& [known, hosts] : found_)
            if (known == which)
                return hosts;
        return found_.emplace_back(which, directory_.find_both(which)).second;
    }

private:
    const relay::router_context& context_;
    const scheduler_directory& directory_;
    policy::domain_schedulers nobody_;
    /// Few; references into it stay valid.
    mutable std::deque<std::pair<policy::domain, policy::domain_schedulers>>
        found_;
};

} // namespace

load_reporter::load_reporter(
    relay::router_context& context, const placer_ports& ports,
    const scheduler_directory& directory, const placer_options& options)
    : context_(context)
    , ports_(ports)
    , directory_(directory)
    , options_(options)
    , timer_(context.loop) {}

void load_reporter::loads_changed() {
    const base::steady_time now = context_.loop.now();
    if (due_ <= now + options_.min_gap && timer_.active())
        return;
    plan(std::max(now, sent_ + options_.min_gap));
}

void load_reporter::loads_added() {
    if (!timer_.active())
        plan(context_.loop.now() + options_.max_gap);
}

void load_reporter::placed_by(const std::string& host) {
    reported_[host] = true;
}

void load_reporter::correct(const std::string& host) {
    reported_[host] = true;
    loads_changed();
}

void load_reporter::plan(base::steady_time when) {
    due_ = when;
    timer_.start(when, [this] { send(); });
}

void load_reporter::send() {
    sent_ = context_.loop.now();
    const bool standbys_due = sent_ - standbys_told_ >= options_.max_gap;
    if (standbys_due)
        standbys_told_ = sent_;
    outgoing_map reports = collect();
    add_results(reports);
    add_observations(reports);
    reported_.clear();
    for (const auto& [host, entry] : reports) {
        if (!entry.report.loads.empty())
            reported_[host] = entry.urgent;
        if (entry.urgent || standbys_due)
            ports_.send(host, encode(entry.report));
    }
    if (!reported_.empty())
        plan(sent_ + options_.max_gap);
}

load_reporter::outgoing_map load_reporter::collect() {
    outgoing_map reports;
    // Whoever knows of loads from here learns when there are none left.
    for (const auto& [host, urgent] : reported_)
        reports[host].urgent = urgent;
    const domain_hosts hosts(context_, directory_);
    for (const auto& [id, load] : context_.state.loads.own) {
        const policy::domain_schedulers& found = hosts.of(id);
        for (const std::string* host : {&found.active, &found.standby}) {
            if (host->empty() || *host == ports_.own_host)
                continue;
            outgoing& entry = reports[*host];
            entry.report.loads[id] = load;
            entry.urgent = entry.urgent || host == &found.active;
        }
    }
    return reports;
}

void load_reporter::add_results(outgoing_map& reports) {
    const domain_hosts hosts(context_, directory_);
    for (const auto& [id, counts] :
         policy::take_unreported(context_.state.health)) {
        const std::string& host = hosts.of(id).active;
        if (host.empty() || host == ports_.own_host)
            continue;
        reports[host].report.results[id] = counts;
        reports[host].urgent = true;
    }
}

void load_reporter::add_observations(outgoing_map& reports) {
    const std::vector<policy::server_warning> avoided =
        policy::own_warnings(context_.state.health, sent_);
    // The schedulers of servers that are avoided here are to know it, too.
    const domain_hosts hosts(context_, directory_);
    for (const policy::server_warning& warning : avoided) {
        const std::string& host = hosts.of(warning.server_id).active;
        if (!host.empty() && host != ports_.own_host)
            reports[host].urgent = true;
    }
    if (reports.empty())
        return;
    std::vector<observed_rate> rates;
    for (const std::string& id : context_.state.rates.unreported)
        rates.push_back(
            {id, policy::prefill_rate_of(context_.state.rates, id)});
    context_.state.rates.unreported.clear();
    for (auto& [host, entry] : reports) {
        entry.report.avoided = avoided;
        entry.report.rates = rates;
    }
}

} // namespace mintknot::scheduling
