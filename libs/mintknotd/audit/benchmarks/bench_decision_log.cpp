// Processor time of one decision record and memory, over the records kept.
#include <mintknot/audit/decision_log.hpp>
#include <mintknot/base/heap_use.hpp>

#include <benchmark/benchmark.h>

using namespace mintknot;

namespace {

audit::decision placement(std::uint64_t number) {
    audit::decision value;
    value.request = "north-1.entry-1.19363f2c0a1." + std::to_string(number);
    value.sentence = "prefill on prefill-1, decode on decode-1: first token "
                     "expected in 210 ms, then 31.0 ms per token";
    value.choice = "prefill-1 > decode-1";
    for (int i = 0; i < 8; ++i)
        value.candidates.push_back(
            {"decode decode-" + std::to_string(i), 0.5,
             "31.0 ms per token, 40% of the memory used"});
    for (int i = 0; i < 6; ++i)
        value.inputs.push_back(
            {"report of decode-1", "12000 tokens of KV used", {}});
    return value;
}

void record_a_placement(benchmark::State& run) {
    const auto size = static_cast<std::size_t>(run.range(0));
    const std::size_t before = base::heap_in_use();
    audit::decision_log log(size);
    std::uint64_t number = 0;
    while (log.size() < size)
        log.record(placement(number++));
    const std::size_t after = base::heap_in_use();
    for (auto _ : run)
        log.record(placement(number++));
    run.counters["size"] = static_cast<double>(size);
    run.counters["memory_kib"] = static_cast<double>(after - before) / 1024.0;
}

} // namespace

BENCHMARK(record_a_placement)
    ->Arg(2000)
    ->Arg(5000)
    ->Arg(10000)
    ->Arg(20000)
    ->Unit(benchmark::kMicrosecond);
