#include "load_reporter.hpp"

#include <mintknot/relay/server_results.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace mintknot::scheduling {

namespace {

/// Looks up the schedulers of servers, hashing the hosts once per domain.
class scheduler_cache {
public:
    scheduler_cache(
        const relay::router_context& context,
        const scheduler_directory& directory)
        : context_(context)
        , directory_(directory) {}

    /// @return empty hosts for an unknown server.
    const policy::domain_schedulers& of(const std::string& server_id) const {
        const traffic::server* server =
            traffic::find(context_.state.servers, server_id);
        if (server == nullptr)
            return no_schedulers_;
        const policy::domain which =
            policy::domain_of(context_.state.servers, *server);
        for (const auto& [known, hosts] : by_domain_)
            if (known == which)
                return hosts;
        return by_domain_
            .emplace_back(which, directory_.find_with_standby(which))
            .second;
    }

private:
    const relay::router_context& context_;
    const scheduler_directory& directory_;
    policy::domain_schedulers no_schedulers_;
    /// Few entries. A deque, so that references to them stay valid.
    mutable std::deque<std::pair<policy::domain, policy::domain_schedulers>>
        by_domain_;
};

} // namespace

load_reporter::load_reporter(
    relay::router_context& context, const placer_callbacks& callbacks,
    const scheduler_directory& directory, const placer_options& options)
    : context_(context)
    , callbacks_(callbacks)
    , directory_(directory)
    , options_(options)
    , timer_(context.loop) {}

void load_reporter::loads_changed() {
    const base::steady_time now = context_.loop.now();
    if (next_send_at_ <= now + options_.min_report_interval && timer_.active())
        return;
    schedule_send(std::max(now, last_sent_at_ + options_.min_report_interval));
}

void load_reporter::loads_added() {
    if (!timer_.active())
        schedule_send(context_.loop.now() + options_.max_report_interval);
}

void load_reporter::placed_by(const std::string& host) {
    reported_[host] = true;
}

void load_reporter::schedule_correction(const std::string& host) {
    reported_[host] = true;
    loads_changed();
}

void load_reporter::schedule_send(base::steady_time when) {
    next_send_at_ = when;
    timer_.start(when, [this] { send(); });
}

void load_reporter::send() {
    last_sent_at_ = context_.loop.now();
    relay::refresh_streams(context_);
    const bool standbys_due =
        last_sent_at_ - standbys_last_sent_at_ >= options_.max_report_interval;
    if (standbys_due)
        standbys_last_sent_at_ = last_sent_at_;
    pending_report_map reports = collect();
    add_repeated(reports);
    add_results(reports);
    add_call_times(reports);
    add_observations(reports);
    const std::map<std::string, bool> counting = std::exchange(reported_, {});
    for (const auto& [host, entry] : reports) {
        if (!entry.report.loads.empty()) {
            reported_[host] = entry.urgent;
            repeated_.erase(host);
        } else if (
            entry.urgent && counting.contains(host) &&
            context_.state.capacity_sharing)
            repeated_[host] = last_sent_at_ + options_.max_report_interval;
        if (entry.urgent || standbys_due)
            callbacks_.send(host, encode(entry.report));
    }
    schedule_next();
}

void load_reporter::schedule_next() {
    if (reported_.empty() && repeated_.empty())
        return;
    base::steady_time first = last_sent_at_ + options_.max_report_interval;
    for (const auto& [host, due] : repeated_)
        first = std::min(first, due);
    schedule_send(first);
}

void load_reporter::add_repeated(pending_report_map& reports) {
    std::erase_if(repeated_, [&](const auto& item) {
        if (item.second > last_sent_at_)
            return false;
        reports[item.first].urgent = true;
        return true;
    });
}

load_reporter::pending_report_map load_reporter::collect() {
    pending_report_map reports;
    // Hosts that count load of this instance must learn when none is left.
    for (const auto& [host, urgent] : reported_)
        reports[host].urgent = urgent;
    const scheduler_cache hosts(context_, directory_);
    for (const auto& [id, load] : context_.state.loads.own) {
        const policy::domain_schedulers& found = hosts.of(id);
        for (const std::string* host : {&found.active, &found.standby}) {
            if (host->empty() || *host == callbacks_.own_host)
                continue;
            pending_report& entry = reports[*host];
            entry.report.loads[id] = load;
            entry.urgent = entry.urgent || host == &found.active;
        }
    }
    return reports;
}

void load_reporter::add_results(pending_report_map& reports) {
    const scheduler_cache hosts(context_, directory_);
    for (const auto& [id, counts] :
         policy::take_unreported(context_.state.health)) {
        const std::string& host = hosts.of(id).active;
        if (host.empty() || host == callbacks_.own_host)
            continue;
        reports[host].report.results[id] = counts;
        reports[host].urgent = true;
    }
}

void load_reporter::add_call_times(pending_report_map& reports) {
    const scheduler_cache hosts(context_, directory_);
    for (const auto& [id, observed] :
         policy::take_unreported(context_.state.plain_times, last_sent_at_)) {
        const std::string& host = hosts.of(id).active;
        if (!context_.state.capacity_sharing || host.empty() ||
            host == callbacks_.own_host)
            continue;
        reports[host].report.call_times[id] = observed;
        reports[host].urgent = true;
    }
}

void load_reporter::add_observations(pending_report_map& reports) {
    const std::vector<policy::server_warning> warnings =
        relay::warnings_for_peers(context_);
    // Schedulers must also learn which of their servers are avoided here.
    const scheduler_cache hosts(context_, directory_);
    for (const policy::server_warning& warning : warnings) {
        const std::string& host = hosts.of(warning.server_id).active;
        if (!host.empty() && host != callbacks_.own_host)
            reports[host].urgent = true;
    }
    if (reports.empty())
        return;
    std::vector<observed_rate> rates;
    for (const std::string& id : context_.state.prefill_rates.unreported)
        rates.push_back(
            {id, policy::prefill_rate_of(context_.state.prefill_rates, id)});
    context_.state.prefill_rates.unreported.clear();
    for (auto& [host, entry] : reports) {
        entry.report.avoided = warnings;
        entry.report.rates = rates;
    }
}

} // namespace mintknot::scheduling
