#include <mintknot/net/elastic_pool.hpp>

#include <mintknot/base/log.hpp>

#include <cassert>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace mintknot::net {

namespace {

constexpr std::chrono::seconds idle_time{10};

void run_logged(const std::function<void()>& job) noexcept {
    try {
        job();
    } catch (const std::exception& error) {
        base::logger("pool").error("A job ended by throwing: {}", error.what());
    }
}

} // namespace

struct elastic_pool::impl {
    mutable std::mutex mutex;
    std::condition_variable job_ready;
    std::condition_variable thread_ended;
    std::deque<std::function<void()>> jobs;
    std::size_t most_threads = 1;
    std::size_t threads = 0;
    std::size_t idle = 0;
    bool stopping = false;

    /// Takes jobs until the pool stops or none has come for the idle time.
    static void work(const std::shared_ptr<impl>& self) {
        std::unique_lock lock(self->mutex);
        while (true) {
            ++self->idle;
            self->job_ready.wait_for(lock, idle_time, [&] {
                return !self->jobs.empty() || self->stopping;
            });
            --self->idle;
            if (self->jobs.empty())
                break;
            auto job = std::move(self->jobs.front());
            self->jobs.pop_front();
            lock.unlock();
            run_logged(job);
            job = nullptr;
            lock.lock();
        }
        --self->threads;
        self->thread_ended.notify_all();
    }
};

elastic_pool::elastic_pool(std::size_t most_threads)
    : impl_(std::make_shared<impl>()) {
    assert(most_threads > 0);
    impl_->most_threads = most_threads;
}

elastic_pool::~elastic_pool() {
    shutdown();
}

void elastic_pool::submit(std::function<void()> job) {
    std::unique_lock lock(impl_->mutex);
    if (impl_->stopping)
        return;
    impl_->jobs.push_back(std::move(job));
    const bool all_busy = impl_->idle < impl_->jobs.size();
    if (all_busy && impl_->threads < impl_->most_threads) {
        ++impl_->threads;
        std::thread(impl::work, impl_).detach();
        return;
    }
    lock.unlock();
    impl_->job_ready.notify_one();
}

void elastic_pool::shutdown() {
    std::unique_lock lock(impl_->mutex);
    impl_->stopping = true;
    impl_->job_ready.notify_all();
    impl_->thread_ended.wait(lock, [&] { return impl_->threads == 0; });
}

std::size_t elastic_pool::threads() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->threads;
}

} // namespace mintknot::net
