#include "group_simulation.hpp"

#include <algorithm>

namespace mintknot::limits::tests {

namespace {

using base::milliseconds;

const policy::usage_bounds bounds{milliseconds{8000}, 0.1, 140000.0};
constexpr double stream_cost = 5300.0;
constexpr double plain_cost = 200.0;
constexpr double stream_share = 0.26;
constexpr std::size_t data_centres = 3;
constexpr milliseconds heartbeat_interval{500};
constexpr milliseconds refresh_interval{200};
constexpr milliseconds peer_timeout{4000};

std::string host_of(std::size_t instance) {
    return "10.0.0." + std::to_string(instance);
}

std::string data_centre_of(std::size_t instance) {
    return std::string(1, static_cast<char>('a' + instance % data_centres));
}

std::size_t instance_of(const std::string& host) {
    return std::stoul(host.substr(host.rfind('.') + 1));
}

} // namespace

group_simulation::group_simulation(simulation_options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , now_(base::steady_time{} + std::chrono::hours(1))
    , next_heartbeat_(now_) {
    who_.name = "o";
    set_rate(180000.0);
    reference_.updated = now_;
    reference_.level = who_.limit.burst;
    add(options_.instances);
    // The group has been running for a minute before the first request.
    for (std::size_t i = 0; i < members_.size(); ++i)
        members_[i].group =
            std::make_unique<group_tracker>(now_ - std::chrono::seconds(60));
}

void group_simulation::set_rate(double rate) {
    who_.limit = {rate, rate, traffic::usage_unit::tokens, plain_cost};
}

void group_simulation::add(std::size_t instances) {
    const std::size_t before = members_.size();
    for (std::size_t i = 0; i < instances; ++i)
        members_.emplace_back();
    for (member& each : members_)
        each.heard.resize(members_.size());
    for (std::size_t i = before; i < members_.size(); ++i)
        start(i);
    next_heartbeat_ = now_;
}

void group_simulation::start(std::size_t instance) {
    member& self = members_[instance];
    self.book = std::make_unique<account_table>(bounds);
    self.group = std::make_unique<group_tracker>(now_);
    self.directory = {};
    std::fill(self.heard.begin(), self.heard.end(), base::steady_time{});
    self.refreshed_at = {};
}

bool group_simulation::connected(std::size_t left, std::size_t right) const {
    if (cut_until_ <= now_)
        return true;
    return (left % data_centres == cut_) == (right % data_centres == cut_);
}

bool group_simulation::runs(std::size_t instance) const {
    return members_[instance].dead_until <= now_ &&
           members_[instance].frozen_until <= now_;
}

void group_simulation::kill(std::size_t instance, milliseconds down) {
    members_[instance].dead_until = now_ + down;
}

void group_simulation::kill_all(milliseconds down) {
    for (std::size_t i = 0; i < members_.size(); ++i)
        kill(i, down);
}

void group_simulation::freeze(std::size_t instance, milliseconds time) {
    members_[instance].frozen_until = now_ + time;
}

void group_simulation::cut(std::size_t data_centre, milliseconds time) {
    cut_ = data_centre;
    cut_until_ = now_ + time;
}

std::size_t group_simulation::keeper() const {
    keeper_directory all;
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < members_.size(); ++i)
        hosts.push_back(host_of(i));
    all.set_hosts(hosts, hosts);
    return instance_of(all.host_of(who_.name, account_kind::keeper, now_));
}

void group_simulation::exchange_heartbeats() {
    if (now_ < next_heartbeat_)
        return;
    next_heartbeat_ = now_ + heartbeat_interval;
    for (std::size_t to = 0; to < members_.size(); ++to)
        for (std::size_t from = 0; from < members_.size(); ++from)
            if (runs(to) && runs(from) && connected(to, from))
                members_[to].heard[from] = now_;
}

void group_simulation::refresh(std::size_t instance) {
    member& self = members_[instance];
    if (self.refreshed_at != base::steady_time{} &&
        now_ - self.refreshed_at < refresh_interval)
        return;
    self.refreshed_at = now_;
    const std::string here = data_centre_of(instance);
    std::vector<group_peer> heard;
    std::vector<std::string> all{host_of(instance)};
    std::vector<std::string> near{host_of(instance)};
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (i == instance || self.heard[i] == base::steady_time{} ||
            now_ - self.heard[i] > peer_timeout)
            continue;
        heard.push_back(
            {host_of(i), data_centre_of(i), false,
             std::chrono::duration_cast<milliseconds>(now_ - self.heard[i])});
        all.push_back(host_of(i));
        if (data_centre_of(i) == here)
            near.push_back(host_of(i));
    }
    self.directory.set_hosts(std::move(all), std::move(near));
    self.book->set_shares(
        policy::shares_of(self.group->update(heard, here, now_)));
}

bool group_simulation::ask(
    std::size_t from, account_kind account, double cost, bool& granted) {
    member& self = members_[from];
    const std::string host = self.directory.host_of(who_.name, account, now_);
    if (host.empty())
        return false;
    const std::size_t to = instance_of(host);
    const bool lost = to != from && std::uniform_real_distribution<double>(
                                        0.0, 1.0)(random_) < options_.loss;
    if (lost || !runs(to) || !connected(from, to)) {
        self.directory.suspect(host, now_);
        return false;
    }
    refresh(to);
    granted = members_[to].book->draw(who_, account, cost, now_).granted;
    self.directory.clear_suspicion(host);
    return true;
}

void group_simulation::charge_keeper(std::size_t from, double cost) {
    const std::size_t to =
        instance_of(members_[from].directory.keeper_of(who_.name));
    member& keeper = members_[to];
    if (to == from || keeper.dead_until > now_ || !connected(from, to))
        return;
    if (keeper.frozen_until > now_) {
        keeper.pending_charges += cost;
        return;
    }
    refresh(to);
    keeper.book->charge(who_, cost, now_);
}

bool group_simulation::admit(std::size_t instance, double cost) {
    refresh(instance);
    bool granted = false;
    if (options_.strategy == limit_strategy::equal_shares)
        return members_[instance]
            .book->draw(who_, account_kind::own, cost, now_)
            .granted;
    if (ask(instance, account_kind::keeper, cost, granted))
        return granted;
    if (options_.strategy == limit_strategy::keeper_only)
        return true;
    if (!ask(instance, account_kind::deputy, cost, granted))
        granted = members_[instance]
                      .book->draw(who_, account_kind::own, cost, now_)
                      .granted;
    if (granted)
        charge_keeper(instance, cost);
    return granted;
}

double group_simulation::bound() const {
    const double window = std::chrono::duration<double>(bounds.window).count();
    return (who_.limit.rate * window + who_.limit.burst) *
               (1.0 + bounds.overage) +
           bounds.slack;
}

void group_simulation::note_run(double cost) {
    window_.emplace_back(now_, cost);
    in_window_ += cost;
    run_ += cost;
    while (now_ - window_.front().first > bounds.window) {
        in_window_ -= window_.front().second;
        window_.pop_front();
    }
    largest_ = std::max(largest_, in_window_ / bound());
}

void group_simulation::request() {
    std::size_t instance =
        options_.pick_instance
            ? options_.pick_instance(random_, members_.size())
            : std::uniform_int_distribution<std::size_t>(
                  0, members_.size() - 1)(random_);
    const bool stream = std::uniform_real_distribution<double>(0.0, 1.0)(
                            random_) < stream_share;
    const double cost = stream ? stream_cost : plain_cost;
    // Callers of an instance that is down use another one.
    for (std::size_t i = 0; i < members_.size() && !runs(instance); ++i)
        instance = (instance + 1) % members_.size();
    if (!runs(instance))
        return;
    const policy::account_terms exact = policy::terms_of_account(
        who_.limit, {bounds.window, 0.0, 0.0}, 1.0, 0.0);
    const bool within_limit =
        policy::draw(reference_, exact, cost, now_).granted;
    const bool admitted = admit(instance, cost);
    if (admitted)
        note_run(cost);
    allowed_ += within_limit ? cost : 0.0;
    within_limit_ += within_limit ? 1 : 0;
    refused_ += within_limit && !admitted ? 1 : 0;
}

void group_simulation::run(milliseconds time) {
    const base::steady_time end = now_ + time;
    const double mean_cost =
        stream_share * stream_cost + (1.0 - stream_share) * plain_cost;
    while (now_ < end) {
        const double per_ms =
            options_.load * who_.limit.rate / mean_cost / 1000.0;
        const double pause =
            std::exponential_distribution<double>(per_ms)(random_);
        now_ += std::chrono::duration_cast<base::steady_clock::duration>(
            std::chrono::duration<double, std::milli>(pause));
        resume_instances();
        exchange_heartbeats();
        request();
    }
}

void group_simulation::resume_instances() {
    for (std::size_t i = 0; i < members_.size(); ++i) {
        member& self = members_[i];
        if (self.dead_until != base::steady_time{} && self.dead_until <= now_) {
            self.dead_until = {};
            start(i);
            next_heartbeat_ = now_;
        }
        if (self.frozen_until == base::steady_time{} ||
            self.frozen_until > now_)
            continue;
        self.frozen_until = {};
        // Datagrams that arrived during the freeze are read first.
        next_heartbeat_ = now_;
        exchange_heartbeats();
        self.refreshed_at = {};
        refresh(i);
        self.book->charge(who_, self.pending_charges, now_);
        self.pending_charges = 0.0;
    }
}

simulation_result group_simulation::take_result() {
    simulation_result result;
    result.largest_window = largest_;
    result.refused_within_limit = within_limit_ == 0
                                      ? 0.0
                                      : static_cast<double>(refused_) /
                                            static_cast<double>(within_limit_);
    result.used = run_ / std::max(allowed_, 1.0);
    run_ = 0.0;
    allowed_ = 0.0;
    largest_ = 0.0;
    within_limit_ = 0;
    refused_ = 0;
    return result;
}

} // namespace mintknot::limits::tests
