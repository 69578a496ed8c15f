#include <mintknot/entry/cancel_queue.hpp>

#include <mintknot/base/log.hpp>
#include <mintknot/net/elastic_pool.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace mintknot::entry {

namespace {

constexpr std::size_t most_threads = 16;
constexpr base::milliseconds first_wait{50};
constexpr base::milliseconds longest_wait{2000};
constexpr base::milliseconds wake_period{100};

struct queued_cancel {
    held_attempt item;
    std::uint64_t incarnation = 0; ///< Of the engine, when it was queued.
};

/// The cancels of one engine. They go one after another, so that an engine
/// that does not answer holds up only its own.
struct engine_queue {
    std::deque<queued_cancel> waiting;
    bool busy = false;
    base::milliseconds wait{0};
    base::steady_time next_try;
};

} // namespace

struct cancel_queue::impl {
    impl(engine::engine_client& client, incarnation_source source)
        : engines(client)
        , incarnation_of(std::move(source))
        , pool(most_threads) {}

    engine::engine_client& engines;
    const incarnation_source incarnation_of;
    const base::logger log{"cancel"};
    mutable std::mutex mutex;
    std::condition_variable_any changed;
    std::map<std::string, engine_queue> queues; ///< By engine.
    std::size_t total = 0;
    bool added = false;
    net::elastic_pool pool; ///< Last: its jobs use everything above.

    void start_due(base::steady_time now);
    void work_off(const std::string& engine);
    bool is_moot(const queued_cancel& entry) const;
};

bool cancel_queue::impl::is_moot(const queued_cancel& entry) const {
    const auto incarnation = incarnation_of(entry.item.engine);
    if (!incarnation)
        return true;
    return entry.incarnation != 0 && *incarnation != 0 &&
           entry.incarnation != *incarnation;
}

void cancel_queue::impl::work_off(const std::string& engine) {
    while (true) {
        queued_cancel entry;
        {
            const std::lock_guard lock(mutex);
            engine_queue& queue = queues[engine];
            if (queue.waiting.empty()) {
                queue.busy = false;
                return;
            }
            entry = queue.waiting.front();
        }
        const bool confirmed =
            is_moot(entry) ||
            engines.cancel(entry.item.where, entry.item.attempt).ok();
        const std::lock_guard lock(mutex);
        engine_queue& queue = queues[engine];
        if (!confirmed) {
            queue.wait = std::clamp(queue.wait * 2, first_wait, longest_wait);
            queue.next_try = base::steady_clock::now() + queue.wait;
            queue.busy = false;
            return;
        }
        queue.wait = base::milliseconds{0};
        queue.waiting.pop_front();
        --total;
    }
}

void cancel_queue::impl::start_due(base::steady_time now) {
    for (auto& [engine, queue] : queues) {
        if (queue.busy || queue.waiting.empty() || queue.next_try > now)
            continue;
        queue.busy = true;
        pool.submit([this, name = engine] { work_off(name); });
    }
}

cancel_queue::cancel_queue(
    engine::engine_client& engines, incarnation_source source)
    : impl_(std::make_unique<impl>(engines, std::move(source))) {}

cancel_queue::~cancel_queue() = default;

void cancel_queue::add(held_attempt item) {
    const auto incarnation = impl_->incarnation_of(item.engine);
    const std::lock_guard lock(impl_->mutex);
    const std::string engine = item.engine;
    impl_->queues[engine].waiting.push_back(
        {std::move(item), incarnation.value_or(0)});
    ++impl_->total;
    impl_->added = true;
    impl_->changed.notify_all();
}

std::size_t cancel_queue::size() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->total;
}

void cancel_queue::run(
    const std::stop_token& stop, const std::function<void()>& alive) {
    std::unique_lock lock(impl_->mutex);
    while (!stop.stop_requested()) {
        impl_->start_due(base::steady_clock::now());
        alive();
        impl_->added = false;
        impl_->changed.wait_for(
            lock, stop, wake_period, [this] { return impl_->added; });
    }
}

} // namespace mintknot::entry
