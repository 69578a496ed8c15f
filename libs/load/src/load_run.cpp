#include <mintknot/load/load_run.hpp>

#include <mintknot/net/elastic_pool.hpp>

#include <mutex>
#include <thread>

namespace mintknot::load {

namespace {

/// Bound of calls under way; an open-loop run must never wait for it.
constexpr std::size_t most_calls = 4000;

} // namespace

std::vector<call_record> run_arrivals(
    call_path& path, const mix& source, const std::vector<arrival>& arrivals) {
    std::vector<call_record> records(arrivals.size());
    const auto start = base::steady_clock::now();
    net::elastic_pool pool(most_calls);
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        std::this_thread::sleep_until(start + arrivals[i].at);
        pool.submit([&, i] {
            records[i] = path.send(source.parts[arrivals[i].part], arrivals[i]);
        });
    }
    pool.shutdown();
    return records;
}

} // namespace mintknot::load
