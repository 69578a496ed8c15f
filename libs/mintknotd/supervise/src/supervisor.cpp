#include <mintknot/supervise/supervisor.hpp>

#include <mintknot/base/log.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace mintknot::supervise {

namespace {

constexpr base::milliseconds watch_period{50};

} // namespace

struct supervisor::impl {
    impl(std::string group, restart_policy chosen)
        : name(std::move(group))
        , policy(chosen)
        , log("supervisor " + name) {}

    struct slot {
        child part;
        pulse beat;
        child_status status;
        std::deque<base::steady_time> restarts;
    };

    const std::string name;
    const restart_policy policy;
    const base::logger log;
    mutable std::mutex mutex;
    std::condition_variable_any changed;
    std::vector<std::unique_ptr<slot>> slots;
    bool gave_up = false;

    void run_child(slot& entry, const std::stop_token& stop);
    bool may_restart(slot& entry);
    base::milliseconds backoff_of(const slot& entry) const;
    std::string run_once(slot& entry, const std::stop_token& stop);
};

/// @return why the child ended.
std::string
supervisor::impl::run_once(slot& entry, const std::stop_token& stop) {
    try {
        entry.part.run(stop, entry.beat);
        return "returned";
    } catch (const std::exception& error) {
        return error.what();
    }
}

/// Counts a restart. @return false if there were too many in the window.
bool supervisor::impl::may_restart(slot& entry) {
    const auto now = base::steady_clock::now();
    entry.restarts.push_back(now);
    while (!entry.restarts.empty() &&
           now - entry.restarts.front() > policy.window)
        entry.restarts.pop_front();
    return entry.restarts.size() <=
           static_cast<std::size_t>(policy.most_restarts);
}

base::milliseconds supervisor::impl::backoff_of(const slot& entry) const {
    constexpr std::size_t most_doublings = 10;
    const std::size_t doublings =
        std::min(entry.restarts.size() - 1, most_doublings);
    return std::min<base::milliseconds>(
        policy.first_backoff * (1LL << doublings), policy.longest_backoff);
}

void supervisor::impl::run_child(slot& entry, const std::stop_token& stop) {
    while (!stop.stop_requested()) {
        entry.beat.beat();
        const std::string error = run_once(entry, stop);
        if (stop.stop_requested())
            return;
        std::unique_lock lock(mutex);
        entry.status.last_error = error;
        if (!may_restart(entry)) {
            entry.status.state = child_state::given_up;
            gave_up = true;
            changed.notify_all();
            log.error("Gave up on {}: {}.", entry.part.name, error);
            return;
        }
        ++entry.status.restarts;
        entry.status.state = child_state::waiting;
        const auto wait = backoff_of(entry);
        log.warning(
            "Part {} ended: {}. It is restarted in {} ms.", entry.part.name,
            error, wait.count());
        changed.wait_for(lock, stop, wait, [] { return false; });
        entry.status.state = child_state::running;
    }
}

supervisor::supervisor(std::string name, restart_policy policy)
    : impl_(std::make_unique<impl>(std::move(name), policy)) {}

supervisor::~supervisor() = default;

void supervisor::add(child part) {
    const std::lock_guard lock(impl_->mutex);
    auto entry = std::make_unique<impl::slot>();
    entry->status.name = impl_->name + "/" + part.name;
    entry->part = std::move(part);
    impl_->slots.push_back(std::move(entry));
}

void supervisor::run(const std::stop_token& stop, pulse& beat) {
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->gave_up = false;
        for (auto& entry : impl_->slots) {
            entry->restarts.clear();
            entry->status.state = child_state::running;
        }
    }
    std::vector<std::jthread> threads;
    threads.reserve(impl_->slots.size());
    for (auto& entry : impl_->slots)
        threads.emplace_back([this, &entry](const std::stop_token& own) {
            impl_->run_child(*entry, own);
        });

    std::unique_lock lock(impl_->mutex);
    while (!stop.stop_requested() && !impl_->gave_up) {
        beat.beat();
        impl_->changed.wait_for(
            lock, stop, watch_period, [this] { return impl_->gave_up; });
    }
    const bool gave_up = impl_->gave_up;
    lock.unlock();
    // Children end in the reverse order of their start.
    for (auto thread = threads.rbegin(); thread != threads.rend(); ++thread) {
        thread->request_stop();
        thread->join();
    }
    if (gave_up && !stop.stop_requested())
        throw std::runtime_error("a part used up its restarts");
}

std::vector<child_status> supervisor::status() const {
    const std::lock_guard lock(impl_->mutex);
    const auto now = base::steady_clock::now();
    std::vector<child_status> result;
    for (const auto& entry : impl_->slots) {
        child_status status = entry->status;
        const auto limit = entry->part.longest_silence;
        const bool silent =
            limit.count() > 0 && now - entry->beat.last() > limit;
        if (status.state == child_state::running && silent)
            status.state = child_state::hung;
        result.push_back(std::move(status));
    }
    return result;
}

} // namespace mintknot::supervise
