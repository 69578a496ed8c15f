#include "load_reporter.hpp"

#include <algorithm>

namespace mintknot::scheduling {

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

void load_reporter::correct(const std::string& host) {
    reported_.insert(host);
    loads_changed();
}

void load_reporter::plan(base::steady_time when) {
    due_ = when;
    timer_.start(when, [this] { send(); });
}

void load_reporter::send() {
    sent_ = context_.loop.now();
    std::map<std::string, load_report> reports;
    for (const std::string& host : reported_)
        reports[host];
    reported_.clear();
    for (const auto& [id, load] : context_.state.loads.own) {
        const std::string host = directory_.find_elsewhere(id);
        if (host.empty())
            continue;
        reports[host].loads[id] = load;
        reported_.insert(host);
    }
    // The schedulers of servers that are avoided here are to know it, too.
    const std::vector<policy::server_warning> avoided =
        policy::own_warnings(context_.state.health, sent_);
    for (const policy::server_warning& warning : avoided) {
        const std::string host = directory_.find_elsewhere(warning.server_id);
        if (!host.empty())
            reports[host];
    }
    add_observations(reports, avoided);
    for (const auto& [host, report] : reports)
        ports_.send(host, encode(report));
    if (!reported_.empty())
        plan(sent_ + options_.max_gap);
}

void load_reporter::add_observations(
    std::map<std::string, load_report>& reports,
    const std::vector<policy::server_warning>& avoided) {
    if (reports.empty())
        return;
    std::vector<observed_rate> rates;
    for (const std::string& id : context_.state.rates.fresh)
        rates.push_back({id, policy::rate_of(context_.state.rates, id)});
    context_.state.rates.fresh.clear();
    for (auto& [host, report] : reports) {
        report.avoided = avoided;
        report.rates = rates;
    }
}

} // namespace mintknot::scheduling
