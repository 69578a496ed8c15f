#include <mintknot/entry/progress_reporter.hpp>

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <unordered_map>

namespace mintknot::entry {

namespace {

using routing::progress;
using routing::progress_phase;

constexpr base::milliseconds batch_period{20};
/// Well below the scheduler's patience with silent entries.
constexpr base::milliseconds keep_alive_period{800};

struct reported_line {
    scheduler_location where;
    progress line;
};

bool is_end(progress_phase phase) {
    return phase == progress_phase::finished ||
           phase == progress_phase::prefill_failed ||
           phase == progress_phase::decode_failed;
}

} // namespace

struct progress_reporter::impl {
    impl(control::control_loop& loop, rpc::peer_client& client)
        : control(loop)
        , peers(client) {}

    using batches = std::map<scheduler_location, rpc::progress_batch>;

    control::control_loop& control;
    rpc::peer_client& peers;
    tbb::concurrent_queue<reported_line> lines;
    std::unordered_map<std::string, reported_line> running; ///< By attempt.
    std::mutex mutex;
    std::condition_variable_any woken;
    std::atomic<bool> pending{false}; ///< Lines wait to be sent.

    batches take_lines();
    batches all_running() const;
    void send(const batches& taken);
    void wait_for_lines(
        std::unique_lock<std::mutex>& lock, const std::stop_token& stop,
        base::steady_time until);
};

progress_reporter::impl::batches progress_reporter::impl::take_lines() {
    batches result;
    reported_line taken;
    while (lines.try_pop(taken)) {
        if (is_end(taken.line.phase))
            running.erase(taken.line.attempt);
        else
            running[taken.line.attempt] = taken;
        result[taken.where].lines.push_back(taken.line);
    }
    return result;
}

progress_reporter::impl::batches progress_reporter::impl::all_running() const {
    batches result;
    for (const auto& [attempt, entry] : running)
        result[entry.where].lines.push_back(entry.line);
    return result;
}

void progress_reporter::impl::send(const batches& taken) {
    for (const auto& [where, lines_for] : taken) {
        rpc::progress_batch batch = lines_for;
        batch.service = where.service;
        if (!where.remote)
            control.report(std::move(batch));
        else if (!peers.report(*where.remote, batch).ok())
            continue; // The next keep-alive repeats what still matters.
    }
}

/// Sleeps while there is nothing to tell, then gives a batch time to gather.
void progress_reporter::impl::wait_for_lines(
    std::unique_lock<std::mutex>& lock, const std::stop_token& stop,
    base::steady_time until) {
    woken.wait_until(lock, stop, until, [this] { return pending.load(); });
    if (!pending)
        return;
    const auto gathered = base::steady_clock::now() + batch_period;
    woken.wait_until(lock, stop, gathered, [] { return false; });
    pending = false;
}

progress_reporter::progress_reporter(
    control::control_loop& control, rpc::peer_client& peers)
    : impl_(std::make_unique<impl>(control, peers)) {}

progress_reporter::~progress_reporter() = default;

void progress_reporter::report(const scheduler_location& where, progress line) {
    impl_->lines.push({where, std::move(line)});
    if (impl_->pending.exchange(true))
        return;
    // The lock closes the gap between the reader's look and its sleep.
    const std::lock_guard lock(impl_->mutex);
    impl_->woken.notify_all();
}

void progress_reporter::run(
    const std::stop_token& stop, const std::function<void()>& alive) {
    auto next_keep_alive = base::steady_clock::now() + keep_alive_period;
    std::unique_lock lock(impl_->mutex);
    while (!stop.stop_requested()) {
        impl_->wait_for_lines(lock, stop, next_keep_alive);
        lock.unlock();
        impl_->send(impl_->take_lines());
        if (base::steady_clock::now() >= next_keep_alive) {
            impl_->send(impl_->all_running());
            next_keep_alive = base::steady_clock::now() + keep_alive_period;
        }
        alive();
        lock.lock();
    }
    impl_->send(impl_->take_lines());
}

} // namespace mintknot::entry
