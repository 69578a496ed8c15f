/// @file
/// A thread pool that grows on demand, for work that blocks on I/O.
#ifndef MINTKNOT_NET_ELASTIC_POOL_HPP
#define MINTKNOT_NET_ELASTIC_POOL_HPP

#include <cstddef>
#include <functional>
#include <memory>

namespace mintknot::net {

/// Runs jobs on threads that are started when all others are busy, up to a
/// bound, and that end after some idle seconds. Beyond the bound jobs wait.
///
/// @code
/// elastic_pool pool(64);
/// pool.submit([] { fetch(); });
/// @endcode
///
/// Thread: all functions may be called from any thread. Lifetime: the
/// destructor waits for all jobs that were submitted.
class elastic_pool {
public:
    /// @param most_threads upper bound of threads, at least 1.
    explicit elastic_pool(std::size_t most_threads);
    ~elastic_pool();
    elastic_pool(const elastic_pool&) = delete;
    elastic_pool& operator=(const elastic_pool&) = delete;

    /// Queues a job. Jobs must not throw; one that does is logged.
    void submit(std::function<void()> job);

    /// Refuses further jobs, then waits until all threads have ended.
    void shutdown();

    /// @return threads alive now.
    std::size_t threads() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::net

#endif
