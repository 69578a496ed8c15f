#include "crash_detector.hpp"

#include <utility>

namespace mintknot::crashes {

namespace {

/// Between two checks of a server that has answered: one that breaks calls and
/// lives is not to be asked each time.
constexpr base::milliseconds min_check_interval{1000};
/// Calls that broke a little later than the others belong to the same end.
constexpr base::milliseconds late_report_time{1000};
/// Within this time a server's row shows that it has been started again.
constexpr base::milliseconds restart_detection_time{5000};
/// Runs of one server that are told of.
constexpr std::size_t max_runs = 64;

std::string incarnation_of(const traffic::server& server) {
    return server.id + "/" + std::to_string(server.born);
}

} // namespace

crash_detector::crash_detector(
    relay::router_context& router,
    std::function<std::optional<relay::health_check>(const std::string& id)>
        health_check_for,
    std::function<
        void(const std::string& incarnation, std::vector<broken_run> runs)>
        on_ended)
    : router_(router)
    , health_check_for_(std::move(health_check_for))
    , on_ended_(std::move(on_ended)) {}

void crash_detector::report_broken_call(
    const broken_run& run, const traffic::server& server) {
    tracked_server& at = servers_[server.id];
    const std::string incarnation = incarnation_of(server);
    if (at.incarnation != incarnation) {
        at = {};
        at.incarnation = incarnation;
        at.timer = std::make_unique<event::timer>(router_.loop);
    }
    if (at.runs.size() < max_runs)
        at.runs.push_back({run, router_.loop.now()});
    if (at.ended_at) {
        report_runs(at);
        return;
    }
    if (at.check != nullptr || at.check_planned)
        return;
    const base::steady_time due =
        at.alive_at ? *at.alive_at + min_check_interval : router_.loop.now();
    at.check_planned = true;
    at.timer->start(due, [this, id = server.id] { check(id); });
}

void crash_detector::check(const std::string& id) {
    const auto wanted = health_check_for_(id);
    if (!wanted) {
        servers_.erase(id);
        return;
    }
    tracked_server& at = servers_.at(id);
    if (wanted->not_before > router_.loop.now()) {
        at.timer->start(wanted->not_before, [this, id] { check(id); });
        return;
    }
    at.check_planned = false;
    at.check = std::make_unique<liveness_check>(
        router_.loop, router_.pool, wanted->server);
    at.check->start(
        router_.protocol.health(wanted->path, id),
        [this, id](liveness_verdict found) {
            // The check is running: let it go afterwards.
            router_.loop.post(
                [this, id, found, alive = std::weak_ptr<bool>(alive_token_)] {
                    if (!alive.expired())
                        on_verdict(id, found);
                });
        });
}

void crash_detector::on_verdict(const std::string& id, liveness_verdict found) {
    const auto entry = servers_.find(id);
    if (entry == servers_.end() || entry->second.ended_at)
        return;
    tracked_server& at = entry->second;
    at.check.reset();
    if (found == liveness_verdict::ended) {
        on_server_ended(id, at);
        return;
    }
    at.unconfirmed_runs = std::exchange(at.runs, {});
    at.alive_at = router_.loop.now();
    schedule_removal(id, at, restart_detection_time);
}

void crash_detector::on_server_ended(
    const std::string& id, tracked_server& at) {
    ++count_;
    at.ended_at = router_.loop.now();
    router_.log.write(
        "server_ended",
        {{"server", id}, {"runs", static_cast<std::int64_t>(at.runs.size())}});
    report_runs(at);
    schedule_removal(id, at, late_report_time);
}

void crash_detector::replaced(const std::string& id) {
    const auto entry = servers_.find(id);
    if (entry == servers_.end() || entry->second.ended_at)
        return;
    tracked_server& at = entry->second;
    at.check.reset();
    at.runs.insert(
        at.runs.end(), at.unconfirmed_runs.begin(), at.unconfirmed_runs.end());
    at.unconfirmed_runs.clear();
    if (!at.runs.empty())
        on_server_ended(id, at);
}

void crash_detector::report_runs(tracked_server& at) {
    std::vector<broken_run> runs;
    for (timestamped_run& entry : at.runs) {
        entry.run.ago = std::chrono::duration_cast<base::milliseconds>(
            router_.loop.now() - entry.at);
        runs.push_back(std::move(entry.run));
    }
    at.runs.clear();
    on_ended_(at.incarnation, std::move(runs));
}

void crash_detector::schedule_removal(
    const std::string& id, tracked_server& at, base::milliseconds time) {
    at.check_planned = false;
    at.timer->start(time, [this, id] { servers_.erase(id); });
}

} // namespace mintknot::crashes
