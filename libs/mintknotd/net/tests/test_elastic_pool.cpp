#include <mintknot/net/elastic_pool.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <latch>

using namespace mintknot;

Test(elastic_pool, grows_until_all_jobs_run_at_once) {
    constexpr int jobs = 20;
    net::elastic_pool pool(jobs);
    std::latch all_started(jobs);
    std::atomic<int> done{0};
    for (int i = 0; i < jobs; ++i)
        pool.submit([&] {
            all_started.arrive_and_wait();
            ++done;
        });
    pool.shutdown();
    cr_assert_eq(done.load(), jobs);
}

Test(elastic_pool, stays_within_its_bound_and_survives_a_throwing_job) {
    net::elastic_pool pool(2);
    std::atomic<int> running{0};
    std::atomic<int> most{0};
    for (int i = 0; i < 50; ++i)
        pool.submit([&] {
            const int now = ++running;
            int seen = most.load();
            while (now > seen && !most.compare_exchange_weak(seen, now)) {
            }
            --running;
            throw std::runtime_error("on purpose");
        });
    pool.shutdown();
    cr_assert_leq(most.load(), 2);
    cr_assert_eq(pool.threads(), 0U);
}
