// Processor time of one placement decision, over the number of engines.
#include "../tests/engine_fixture.hpp"

#include <mintknot/base/heap_use.hpp>
#include <mintknot/base/random.hpp>

#include <benchmark/benchmark.h>

using namespace mintknot;
using namespace mintknot::routing;
using namespace mintknot::routing::tests;

namespace {

/// A scheduler whose prefix index is full.
scheduler full_scheduler(std::int64_t engines) {
    scheduler state({});
    for (std::int64_t i = 0; i < engines; ++i)
        add_engine(
            state.table, "e" + std::to_string(i), config::pool_role::both,
            100'000'000);
    const auto share =
        state.options.most_prefixes / static_cast<std::size_t>(engines);
    for (std::int64_t i = 0; i < engines; ++i)
        for (std::size_t n = 0; n < share; ++n)
            state.prefixes.add(
                static_cast<engine_number>(i), {{1, base::random_bits()}});
    return state;
}

/// Memory of the prefix index over its entries.
void fill_prefix_index(benchmark::State& run) {
    const auto size = static_cast<std::size_t>(run.range(0));
    constexpr engine_number engines = 100;
    std::size_t used = 0;
    for (auto _ : run) {
        const std::size_t before = base::heap_in_use();
        prefix_index index(size);
        index.add(engines - 1, {});
        for (std::size_t i = 0; i < size; ++i)
            index.add(
                static_cast<engine_number>(i % engines),
                {{1, base::random_bits()}});
        used = base::heap_in_use() - before;
    }
    run.counters["size"] = static_cast<double>(size);
    run.counters["memory_kib"] = static_cast<double>(used) / 1024.0;
}

void place_and_finish(benchmark::State& run) {
    scheduler state = full_scheduler(run.range(0));
    auto query = query_of(8000, 300);
    std::uint64_t number = 1U << 30U;
    for (auto _ : run) {
        query.prefix.clear();
        for (std::uint32_t blocks = 1; blocks <= 128; blocks *= 2)
            query.prefix.push_back({blocks, ++number});
        query.attempt = std::to_string(number);
        const auto answer = place(state, query, {}, start);
        take_progress(state, {answer.attempt, progress_phase::finished}, start);
        benchmark::DoNotOptimize(answer.attempt.data());
    }
    run.counters["size"] = static_cast<double>(run.range(0));
}

} // namespace

BENCHMARK(fill_prefix_index)
    ->Arg(50000)
    ->Arg(100000)
    ->Arg(200000)
    ->Arg(400000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(place_and_finish)
    ->Arg(12)
    ->Arg(25)
    ->Arg(50)
    ->Arg(100)
    ->Arg(200)
    ->Unit(benchmark::kMicrosecond);
