#include "plain_load.hpp"

#include <algorithm>
#include <tuple>

namespace mintknot::policy::tests {

namespace {

constexpr double burst_begin_ms = 1000.0;
constexpr double deadline_ms = 4000.0;
constexpr double retry_after_ms = 250.0;
/// How soon a caller who does not heed Retry-After returns.
constexpr double hasty_return_ms = 5.0;
constexpr double datagram_ms = 1.0;
constexpr double report_interval_ms = 60.0;
constexpr double max_report_interval_ms = 500.0;
constexpr int max_rejections = 3; ///< As in attempts.cpp.

std::string name_of(std::size_t server) {
    return "i" + std::to_string(server);
}

} // namespace

plain_load::plain_load(load_options options)
    : results(options.kinds.size())
    , sent_to(options.servers.size())
    , options_(std::move(options))
    , random_(options_.seed)
    , instances_(options_.instances) {
    service_.name = "s";
    service_.max_connections = 1000000;
    for (const server_spec& spec : options_.servers) {
        traffic::server row;
        row.id = name_of(servers_.size());
        row.service = "s";
        row.slots = spec.slots;
        servers_.push_back({spec, 0, {}});
        traffic::apply(table_, row.id, servers_.size(), row);
    }
    for (std::size_t kind = 0; kind < options_.kinds.size(); ++kind)
        arrive(kind);
}

base::steady_time plain_load::now() const {
    return base::steady_time{} + std::chrono::hours(1) +
           std::chrono::microseconds(static_cast<std::int64_t>(now_ms_ * 1000));
}

double plain_load::draw() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

double plain_load::capacity() const {
    double rate = 0.0;
    for (const server_spec& spec : options_.servers)
        rate += spec.slots / spec.service_ms;
    return rate * options_.burst_ms;
}

double plain_load::possible() const {
    // Calls that wait at the end of the burst are served after it.
    const double time =
        1.0 + options_.kinds.front().target_ms / options_.burst_ms;
    return capacity() * time * expected_service_ms_ / drawn_service_ms_;
}

double plain_load::in_time_share() const {
    int served = 0;
    for (const load_result& result : results)
        served += result.in_time;
    return served / possible();
}

double plain_load::rejected_share() const {
    return static_cast<double>(rejected) / std::max(1, sent);
}

void plain_load::at(double ms, std::function<void()> what) {
    events_.push({ms, ++events_added_, std::move(what)});
}

void plain_load::run() {
    while (!events_.empty()) {
        const event next = events_.top();
        events_.pop();
        now_ms_ = next.ms;
        next.what();
    }
}

void plain_load::arrive(std::size_t kind) {
    const double end = burst_begin_ms + options_.burst_ms;
    const bool burst = now_ms_ >= burst_begin_ms;
    const double load = burst ? options_.kinds[kind].load : options_.calm_load;
    const double per_ms = load * capacity() / options_.burst_ms;
    if (now_ms_ > end || per_ms <= 0.0)
        return;
    if (now_ms_ > 0.0) {
        call value;
        value.kind = kind;
        value.in_burst = burst;
        begin(value);
    }
    const double gap = std::exponential_distribution<double>(per_ms)(random_);
    at(now_ms_ + std::max(gap, 0.001), [this, kind] { arrive(kind); });
}

void plain_load::begin(call value) {
    value.instance = random_() % instances_.size();
    value.arrived_ms = now_ms_;
    load_result& result = results[value.kind];
    result.callers += value.in_burst && value.returns == 0 ? 1 : 0;
    result.tries += value.in_burst ? 1 : 0;
    place(std::move(value));
}

void plain_load::place(call value) {
    if (!has_scheduler()) {
        decide(std::move(value));
        return;
    }
    at(now_ms_ + datagram_ms,
       [this, value = std::move(value)] { decide(value); });
}

void plain_load::decide(call value) {
    instance& by = decider(value.instance);
    traffic::expire(by.loads, now());
    selection_inputs inputs{
        table_,
        by.loads,
        by.health,
        rates_,
        service_,
        "",
        instances_.size(),
        now(),
        [this] { return draw(); }};
    inputs.all_loads_known = has_scheduler();
    inputs.plain_times = &by.times;
    placement_query query;
    query.service = "s";
    query.excluded = value.tried;
    const caller_kind& kind = options_.kinds[value.kind];
    placement placed;
    if (options_.admission) {
        capacity_claim& claim = query.claim.emplace();
        claim.priority = kind.priority;
        claim.target_left = base::milliseconds(static_cast<std::int64_t>(
            std::max(0.0, kind.target_ms - (now_ms_ - value.arrived_ms))));
        // Of callers who return at once it is not known.
        claim.caller_retry = value.heeded;
        if (options_.ignore_shortage)
            by.admission.plain.short_until = {};
        placed = place_claim(by.admission, inputs, query);
    } else {
        placed = choose_servers(inputs, query);
    }
    charge_placement(by.health.limits, table_, "s", placed, now());
    if (placed.server.empty()) {
        refuse(value);
        return;
    }
    value.server = std::stoul(placed.server.substr(1));
    value.tried.insert(placed.server);
    value.forecast = placed.plain;
    const std::string host = std::to_string(value.instance);
    const traffic::load_map loads = placed_loads(placed, query);
    if (has_scheduler() && value.instance != 0)
        traffic::add_to_peer(by.loads, host, loads, now());
    at(now_ms_ + datagram_ms, [this, value] { reach(value); });
}

void plain_load::refuse(const call& value) {
    const double after = now_ms_ - value.arrived_ms;
    if (options_.admission)
        longest_refusal_ms = std::max(longest_refusal_ms, after);
    const caller_kind& kind = options_.kinds[value.kind];
    results[value.kind].refused += value.in_burst ? 1 : 0;
    if (value.returns >= kind.max_returns)
        return;
    call again;
    again.kind = value.kind;
    again.returns = value.returns + 1;
    again.in_burst = value.in_burst;
    const bool heeds = draw() < kind.heeding_share;
    again.heeded = heeds;
    at(now_ms_ + (heeds ? retry_after_ms : hasty_return_ms),
       [this, again] { begin(again); });
}

void plain_load::reach(call value) {
    instance& own = instances_[value.instance];
    traffic::add(own.loads, name_of(value.server), {1, 0.0, 0.0});
    own.load_counted = true;
    if (!has_scheduler())
        schedule_report(value.instance);
    value.sent_ms = now_ms_;
    backend& server = servers_[value.server];
    ++sent;
    ++sent_to[value.server];
    const server_spec& spec = server.spec;
    const bool gone = traffic::find(table_, name_of(value.server)) == nullptr;
    if (gone || draw() < spec.failing_share) {
        at(now_ms_ + datagram_ms, [this, value] { end(value, false); });
    } else if (server.running < spec.slots) {
        start(value);
    } else if (static_cast<int>(server.waiting.size()) < spec.queue) {
        server.waiting.push(value);
    } else {
        ++rejected;
        at(now_ms_ + datagram_ms, [this, value] { reject(value); });
    }
}

void plain_load::start(const call& value) {
    backend& server = servers_[value.server];
    ++server.running;
    const double mean = server.spec.service_ms;
    const double time =
        options_.exponential
            ? std::exponential_distribution<double>(1.0 / mean)(random_)
            : mean;
    expected_service_ms_ += mean;
    drawn_service_ms_ += time;
    at(now_ms_ + time, [this, value] {
        backend& ran_at = servers_[value.server];
        --ran_at.running;
        if (!ran_at.waiting.empty()) {
            const call next = ran_at.waiting.front();
            ran_at.waiting.pop();
            start(next);
        }
        end(value, true);
    });
}

void plain_load::end(const call& value, bool good) {
    instance& own = instances_[value.instance];
    const std::string id = name_of(value.server);
    traffic::remove(own.loads, id, {1, 0.0, 0.0});
    note_call_result(
        own.health, id, good ? call_result::good : call_result::failed, now());
    if (good && value.forecast)
        note_call_time(
            own.times, id,
            base::milliseconds(std::llround(now_ms_ - value.sent_ms)),
            value.forecast->calls_ahead, servers_[value.server].spec.slots,
            now());
    schedule_report(value.instance);
    if (!value.in_burst)
        return;
    load_result& result = results[value.kind];
    const bool in_time =
        now_ms_ - value.arrived_ms <= options_.kinds[value.kind].target_ms;
    ++(good ? in_time ? result.in_time : result.late : result.failed);
}

void plain_load::reject(call value) {
    instance& own = instances_[value.instance];
    const std::string id = name_of(value.server);
    traffic::remove(own.loads, id, {1, 0.0, 0.0});
    note_call_result(own.health, id, call_result::rejected, now());
    note_rejections(own.times, id, 1);
    schedule_report(value.instance);
    if (++value.rejections > max_rejections || is_budget_spent()) {
        refuse(value);
        return;
    }
    ++repeats;
    place(std::move(value));
}

bool plain_load::is_budget_spent() const {
    int tries = 0;
    for (const load_result& result : results)
        tries += result.tries;
    return !options_.admission && repeats >= 0.2 * tries + 192.0;
}

void plain_load::schedule_report(std::size_t from) {
    instance& own = instances_[from];
    if (own.report_due)
        return;
    own.report_due = true;
    at(std::max(now_ms_, own.last_report_ms + report_interval_ms),
       [this, from] { report(from); });
}

void plain_load::report(std::size_t from) {
    instance& own = instances_[from];
    own.report_due = false;
    own.last_report_ms = now_ms_;
    schedule_next_report(from);
    const traffic::load_map loads = own.loads.own;
    const result_map calls = take_unreported(own.health);
    const observed_call_map times = take_unreported(own.times, now());
    if (draw() < options_.lost_reports)
        return;
    at(now_ms_ + datagram_ms, [this, from, loads, calls, times] {
        for (std::size_t to = 0; to < instances_.size(); ++to) {
            if (to == from || (has_scheduler() && to != 0))
                continue;
            instance& told = instances_[to];
            traffic::set_peer(told.loads, std::to_string(from), loads, now());
            if (!has_scheduler())
                continue;
            note_peer_results(told.health, calls, now());
            note_reported_times(told.times, times, now());
            for (const auto& [id, counts] : calls)
                note_rejections(told.times, id, counts.rejected);
        }
    });
}

void plain_load::schedule_next_report(std::size_t from) {
    instance& own = instances_[from];
    const bool loaded = !own.loads.own.empty();
    const bool due =
        loaded || (own.load_counted && options_.repeat_empty_reports);
    own.load_counted = loaded;
    const std::size_t number = ++own.reports;
    if (!has_scheduler() || !due)
        return;
    at(now_ms_ + max_report_interval_ms, [this, from, number] {
        if (instances_[from].reports == number)
            schedule_report(from);
    });
}

void plain_load::replace_scheduler() {
    instances_[0].loads = {};
    instances_[0].health = {};
    instances_[0].times = {};
    instances_[0].admission = {};
}

void plain_load::remove_server(std::size_t number) {
    backend& server = servers_[number];
    traffic::apply(table_, name_of(number), 1000 + number, std::nullopt);
    while (!server.waiting.empty()) {
        end(server.waiting.front(), false);
        server.waiting.pop();
    }
}

void plain_load::rest_server(std::size_t number, base::milliseconds time) {
    for (instance& each : instances_)
        note_rest(each.health.resting, name_of(number), time, now());
}

void plain_load::limit_server(std::size_t number, double rate) {
    for (instance& each : instances_) {
        note_limit(each.health.limits, name_of(number), rate, now(), now());
        const bool holds = &each == &decider(0) || !has_scheduler();
        set_token_holders(
            each.health.limits, name_of(number),
            holds ? (has_scheduler() ? 1 : instances_.size()) : 0, now());
    }
}

} // namespace mintknot::policy::tests
