#include <mintknot/control/engine_watcher.hpp>

#include <mintknot/base/log.hpp>
#include <mintknot/net/elastic_pool.hpp>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>

namespace mintknot::control {

namespace {

constexpr std::size_t most_threads = 32;
/// One lost report is no reason to give up on an engine.
constexpr int failures_until_unreachable = 2;

/// What is remembered of one watched engine.
struct watched_engine {
    base::address where;
    bool busy = false;
    int failures = 0;
    routing::engine_load last;
    std::vector<engine::held_stream> streams; ///< Of the last report.
};

} // namespace

struct engine_watcher::impl {
    impl(watcher_parts given, watcher_options chosen)
        : parts(std::move(given))
        , options(chosen)
        , pool(most_threads) {}

    const watcher_parts parts;
    const watcher_options options;
    const base::logger log{"watcher"};
    mutable std::mutex mutex;
    std::condition_variable_any woken;
    std::map<std::string, watched_engine> engines; ///< By name.
    net::elastic_pool pool; ///< Last: its jobs use everything above.

    void start_reads();
    void read(const std::string& name, const base::address& where);
    void
    take_report(const std::string& name, const engine::load_report& report);
    void take_failure(const std::string& name);
    void review(
        const std::string& name, const base::address& where,
        const engine::load_report& report);
    std::vector<std::string> unknown_to(
        const base::instance_id& holder,
        const std::vector<std::string>& attempts);
};

void engine_watcher::impl::start_reads() {
    const auto view = parts.control.view();
    const auto current = parts.feed.current();
    const std::lock_guard lock(mutex);
    for (const auto& [name, server] : current->backend_servers()) {
        const auto server_pool = current->pool(server->spec.pool);
        const bool reports =
            server_pool && server_pool->spec.role != config::pool_role::plain;
        if (!reports || !watches(*view, name, server->spec.data_centre))
            continue;
        watched_engine& entry = engines[name];
        entry.where = server->spec.where;
        if (entry.busy)
            continue;
        entry.busy = true;
        pool.submit([this, engine = name, where = entry.where] {
            read(engine, where);
        });
    }
}

void engine_watcher::impl::read(
    const std::string& name, const base::address& where) {
    const auto report = parts.engines.report(where);
    if (report.ok()) {
        take_report(name, *report);
        review(name, where, *report);
    } else {
        take_failure(name);
    }
    const std::lock_guard lock(mutex);
    engines[name].busy = false;
}

void engine_watcher::impl::take_report(
    const std::string& name, const engine::load_report& report) {
    routing::engine_load load;
    load.incarnation = report.incarnation;
    load.kv_used = report.kv_used;
    load.kv_capacity = report.kv_capacity;
    load.running = report.running;
    load.queued_prefill = report.queued_prefill;
    load.step_ms = report.step_ms;
    load.leaving = report.leaving;
    load.read_at = base::steady_clock::now();
    {
        const std::lock_guard lock(mutex);
        watched_engine& entry = engines[name];
        if (entry.failures >= failures_until_unreachable)
            log.info("Engine {} answers again.", name);
        entry.failures = 0;
        entry.last = load;
        entry.streams = report.streams;
    }
    parts.control.take_load({name, load});
}

void engine_watcher::impl::take_failure(const std::string& name) {
    routing::engine_load load;
    {
        const std::lock_guard lock(mutex);
        watched_engine& entry = engines[name];
        ++entry.failures;
        if (entry.failures < failures_until_unreachable)
            return;
        if (entry.failures == failures_until_unreachable)
            log.warning("Engine {} does not answer.", name);
        entry.last.reachable = false;
        entry.last.read_at = base::steady_clock::now();
        load = entry.last;
    }
    parts.control.take_load({name, load});
}

std::vector<std::string> engine_watcher::impl::unknown_to(
    const base::instance_id& holder, const std::vector<std::string>& attempts) {
    const auto view = parts.control.view();
    const auto member = find_live(*view, holder);
    if (!member)
        return attempts;
    if (holder == view->self) {
        std::vector<std::string> unknown;
        std::copy_if(
            attempts.begin(), attempts.end(), std::back_inserter(unknown),
            [&](const std::string& attempt) {
                return !parts.knows_attempt(attempt);
            });
        return unknown;
    }
    // A holder that is alive but out of reach keeps what it has.
    return parts.peers.check_streams(member->rpc, attempts)
        .value_or(std::vector<std::string>{});
}

void engine_watcher::impl::review(
    const std::string& name, const base::address& where,
    const engine::load_report& report) {
    std::map<std::string, std::vector<std::string>> by_holder;
    for (const engine::held_stream& held : report.streams)
        if (!held.has_reader && held.unread_for >= options.orphan_grace)
            by_holder[held.holder].push_back(held.attempt);
    for (const auto& [holder, attempts] : by_holder) {
        const auto id = base::parse_instance_id(holder);
        if (!id.ok())
            continue; // Not ours: someone else uses the engine too.
        for (const std::string& attempt : unknown_to(*id, attempts))
            parts.cancel(name, where, attempt, holder);
    }
}

engine_watcher::engine_watcher(watcher_parts parts, watcher_options options)
    : impl_(std::make_unique<impl>(std::move(parts), options)) {}

engine_watcher::~engine_watcher() = default;

std::optional<rpc::found_stream>
engine_watcher::find_stream(const std::string& request) const {
    const std::string prefix = request + ".";
    const std::lock_guard lock(impl_->mutex);
    std::optional<rpc::found_stream> newest;
    for (const auto& [name, entry] : impl_->engines)
        for (const engine::held_stream& held : entry.streams) {
            const bool decode = held.attempt.ends_with("d");
            if (!decode || !held.attempt.starts_with(prefix))
                continue;
            // A later attempt has a larger number: more digits, or greater.
            const bool newer = !newest ||
                               held.attempt.size() > newest->attempt.size() ||
                               (held.attempt.size() == newest->attempt.size() &&
                                held.attempt > newest->attempt);
            if (newer)
                newest = rpc::found_stream{
                    held.attempt, name, entry.where, held.organisation};
        }
    return newest;
}

void engine_watcher::run(
    const std::stop_token& stop, const std::function<void()>& alive) {
    while (!stop.stop_requested()) {
        impl_->start_reads();
        alive();
        std::unique_lock lock(impl_->mutex);
        impl_->woken.wait_for(
            lock, stop, impl_->options.report_interval, [] { return false; });
    }
}

} // namespace mintknot::control
