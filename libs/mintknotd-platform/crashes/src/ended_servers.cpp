#include "ended_servers.hpp"

#include <utility>

namespace mintknot::crashes {

namespace {

/// Between two checks of a server that has answered: one that breaks calls and
/// lives is not to be asked each time.
constexpr base::milliseconds min_check_gap{1000};
/// Calls that broke a little later than the others belong to the same end.
constexpr base::milliseconds straggler_time{1000};
/// Within this time a server's row shows that it has been started again.
constexpr base::milliseconds doubt_time{5000};
/// Runs of one server that are told of.
constexpr std::size_t max_runs = 64;

std::string life_of(const traffic::server& server) {
    return server.id + "/" + std::to_string(server.born);
}

} // namespace

ended_servers::ended_servers(
    relay::router_context& router,
    std::function<std::optional<relay::health_check>(const std::string& id)>
        check_of,
    std::function<void(const std::string& life, std::vector<broken_run> runs)>
        on_ended)
    : router_(router)
    , check_of_(std::move(check_of))
    , on_ended_(std::move(on_ended)) {}

void ended_servers::call_broke(
    const broken_run& run, const traffic::server& server) {
    watched& at = servers_[server.id];
    const std::string life = life_of(server);
    if (at.life != life) {
        at = {};
        at.life = life;
        at.timer = std::make_unique<event::timer>(router_.loop);
    }
    if (at.runs.size() < max_runs)
        at.runs.push_back({run, router_.loop.now()});
    if (at.ended_at) {
        tell(at);
        return;
    }
    if (at.check != nullptr || at.check_planned)
        return;
    const base::steady_time due =
        at.alive_at ? *at.alive_at + min_check_gap : router_.loop.now();
    at.check_planned = true;
    at.timer->start(due, [this, id = server.id] { check(id); });
}

void ended_servers::check(const std::string& id) {
    const auto wanted = check_of_(id);
    if (!wanted) {
        servers_.erase(id);
        return;
    }
    watched& at = servers_.at(id);
    if (wanted->not_before > router_.loop.now()) {
        at.timer->start(wanted->not_before, [this, id] { check(id); });
        return;
    }
    at.check_planned = false;
    at.check =
        std::make_unique<end_check>(router_.loop, router_.pool, wanted->server);
    at.check->start(
        router_.protocol.health_request(wanted->path, id),
        [this, id](end_verdict found) {
            // The check is running: let it go afterwards.
            router_.loop.post(
                [this, id, found, alive = std::weak_ptr<bool>(life_)] {
                    if (!alive.expired())
                        on_verdict(id, found);
                });
        });
}

void ended_servers::on_verdict(const std::string& id, end_verdict found) {
    const auto entry = servers_.find(id);
    if (entry == servers_.end() || entry->second.ended_at)
        return;
    watched& at = entry->second;
    at.check.reset();
    if (found == end_verdict::ended) {
        on_end(id, at);
        return;
    }
    at.doubted = std::exchange(at.runs, {});
    at.alive_at = router_.loop.now();
    forget_later(id, at, doubt_time);
}

void ended_servers::on_end(const std::string& id, watched& at) {
    ++count_;
    at.ended_at = router_.loop.now();
    router_.log.write(
        "server_ended",
        {{"server", id}, {"runs", static_cast<std::int64_t>(at.runs.size())}});
    tell(at);
    forget_later(id, at, straggler_time);
}

void ended_servers::replaced(const std::string& id) {
    const auto entry = servers_.find(id);
    if (entry == servers_.end() || entry->second.ended_at)
        return;
    watched& at = entry->second;
    at.check.reset();
    at.runs.insert(at.runs.end(), at.doubted.begin(), at.doubted.end());
    at.doubted.clear();
    if (!at.runs.empty())
        on_end(id, at);
}

void ended_servers::tell(watched& at) {
    std::vector<broken_run> runs;
    for (dated_run& entry : at.runs) {
        entry.run.ago = std::chrono::duration_cast<base::milliseconds>(
            router_.loop.now() - entry.at);
        runs.push_back(std::move(entry.run));
    }
    at.runs.clear();
    on_ended_(at.life, std::move(runs));
}

void ended_servers::forget_later(
    const std::string& id, watched& at, base::milliseconds time) {
    at.check_planned = false;
    at.timer->start(time, [this, id] { servers_.erase(id); });
}

} // namespace mintknot::crashes
