#include "crash_detector.hpp"

#include <algorithm>
#include <utility>

namespace mintknot::crashes {

namespace {

/// Minimum time between two checks of a server that has answered, so that a
/// live server that breaks many calls is not checked for each of them.
constexpr base::milliseconds min_check_interval{1000};
/// Calls that break within this time after a server has ended belong to the
/// same crash.
constexpr base::milliseconds late_report_time{1000};
/// Time within which the row of a restarted server shows its new incarnation.
constexpr base::milliseconds restart_detection_time{5000};
/// Maximum number of runs that are reported for one server.
constexpr std::size_t max_runs = 64;

std::string incarnation_of(const traffic::server& server) {
    return server.id + "/" + std::to_string(server.born);
}

} // namespace

crash_detector::crash_detector(
    relay::router_context& router,
    const std::vector<policy::interruption>& interruptions,
    std::function<std::optional<relay::health_check>(const std::string& id)>
        health_check_for,
    std::function<
        void(const std::string& incarnation, std::vector<broken_run> runs)>
        on_ended)
    : router_(router)
    , interruptions_(interruptions)
    , health_check_for_(std::move(health_check_for))
    , on_ended_(std::move(on_ended)) {}

void crash_detector::report_broken_call(
    const broken_run& run, const traffic::server& server) {
    tracked_server& tracked = servers_[server.id];
    const std::string incarnation = incarnation_of(server);
    if (tracked.incarnation != incarnation) {
        tracked = {};
        tracked.incarnation = incarnation;
        tracked.timer = std::make_unique<event::timer>(router_.loop);
    }
    if (tracked.runs.size() < max_runs)
        tracked.runs.push_back(
            {run, router_.loop.now(), router_.pool.last_heard(server.id)});
    if (tracked.ended_at) {
        on_ended_(tracked.incarnation, take_reports(tracked));
        return;
    }
    if (tracked.check != nullptr || tracked.check_planned)
        return;
    const base::steady_time due = tracked.alive_at
                                      ? *tracked.alive_at + min_check_interval
                                      : router_.loop.now();
    tracked.check_planned = true;
    tracked.timer->start(due, [this, id = server.id] { check(id); });
}

bool crash_detector::has_unreported(const std::string& digest) const {
    return any_unreported([&digest](const policy::request_key& key) {
        return key.digest == digest;
    });
}

bool crash_detector::has_unreported(std::uint64_t body_bytes) const {
    return any_unreported([body_bytes](const policy::request_key& key) {
        return key.body_bytes == body_bytes;
    });
}

bool crash_detector::any_unreported(
    const std::function<bool(const policy::request_key&)>& matches) const {
    const auto match = [&matches](const timestamped_run& entry) {
        return matches(entry.run.key);
    };
    return std::any_of(
        servers_.begin(), servers_.end(), [&match](const auto& entry) {
            const tracked_server& server = entry.second;
            return std::any_of(server.runs.begin(), server.runs.end(), match) ||
                   std::any_of(
                       server.unconfirmed_runs.begin(),
                       server.unconfirmed_runs.end(), match);
        });
}

void crash_detector::check(const std::string& id) {
    const auto wanted = health_check_for_(id);
    if (!wanted) {
        servers_.erase(id);
        return;
    }
    tracked_server& tracked = servers_.at(id);
    if (wanted->not_before > router_.loop.now()) {
        tracked.timer->start(wanted->not_before, [this, id] { check(id); });
        return;
    }
    tracked.check_planned = false;
    tracked.check = std::make_unique<relay::liveness_check>(
        router_.loop, router_.pool, wanted->server);
    tracked.check->start(
        router_.protocol.health_request(wanted->path, id),
        relay::first_connection::fresh,
        [this, id](relay::liveness_verdict found) {
            // Posted, because on_verdict() destroys the check, which is running
            // now.
            router_.loop.post(
                [this, id, found, alive = std::weak_ptr<bool>(alive_token_)] {
                    if (!alive.expired())
                        on_verdict(id, found);
                });
        });
}

void crash_detector::on_verdict(
    const std::string& id, relay::liveness_verdict found) {
    const auto entry = servers_.find(id);
    if (entry == servers_.end() || entry->second.ended_at)
        return;
    tracked_server& tracked = entry->second;
    tracked.check.reset();
    if (found == relay::liveness_verdict::ended) {
        on_server_ended(id, tracked);
        return;
    }
    tracked.unconfirmed_runs = std::exchange(tracked.runs, {});
    tracked.alive_at = router_.loop.now();
    schedule_removal(id, tracked, restart_detection_time);
}

void crash_detector::on_server_ended(
    const std::string& id, tracked_server& tracked) {
    ++count_;
    tracked.ended_at = router_.loop.now();
    const std::vector<broken_run> runs = take_reports(tracked);
    const auto doubtful =
        std::count_if(runs.begin(), runs.end(), [](const broken_run& run) {
            return run.liveness == policy::server_liveness::doubtful;
        });
    router_.log.write(
        "server_ended", {{"server", id},
                         {"runs", static_cast<std::int64_t>(runs.size())},
                         {"doubtful", static_cast<std::int64_t>(doubtful)}});
    on_ended_(tracked.incarnation, runs);
    schedule_removal(id, tracked, late_report_time);
}

void crash_detector::replaced(const std::string& id) {
    const auto entry = servers_.find(id);
    if (entry == servers_.end() || entry->second.ended_at)
        return;
    tracked_server& tracked = entry->second;
    tracked.check.reset();
    tracked.runs.insert(
        tracked.runs.end(), tracked.unconfirmed_runs.begin(),
        tracked.unconfirmed_runs.end());
    tracked.unconfirmed_runs.clear();
    if (!tracked.runs.empty())
        on_server_ended(id, tracked);
}

std::vector<broken_run> crash_detector::take_reports(tracked_server& tracked) {
    std::vector<broken_run> runs;
    for (const timestamped_run& entry : tracked.runs)
        runs.push_back(to_report(entry));
    tracked.runs.clear();
    return runs;
}

broken_run crash_detector::to_report(const timestamped_run& entry) const {
    broken_run run = entry.run;
    run.ago = std::chrono::duration_cast<base::milliseconds>(
        router_.loop.now() - entry.at);
    run.liveness = policy::liveness_when_sent(
        {entry.at - run.ran_for, entry.at, entry.server_heard}, interruptions_);
    return run;
}

void crash_detector::schedule_removal(
    const std::string& id, tracked_server& tracked, base::milliseconds time) {
    tracked.check_planned = false;
    tracked.timer->start(time, [this, id] { servers_.erase(id); });
}

} // namespace mintknot::crashes
