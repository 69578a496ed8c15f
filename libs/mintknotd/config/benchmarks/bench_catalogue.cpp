// Processor time of one change and memory, over the number of organisations.
#include <mintknot/base/heap_use.hpp>
#include <mintknot/base/sha256.hpp>
#include <mintknot/config/catalogue.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>

using namespace mintknot;

namespace {

config::resource organisation(std::uint64_t number) {
    const std::string name = "organisation-" + std::to_string(number);
    return {
        config::resource_kind::organisation,
        name,
        number,
        {{"key_sha256", {base::sha256_hex(name)}}, {"most_open", 32}}};
}

void change_one_organisation(benchmark::State& run) {
    const auto size =
        static_cast<std::uint64_t>(std::max<std::int64_t>(run.range(0), 1));
    std::vector<config::resource> resources;
    for (std::uint64_t i = 1; i <= size; ++i)
        resources.push_back(organisation(i));
    const std::size_t before = base::heap_in_use();
    auto current = config::catalogue::from(resources, size);
    const std::size_t after = base::heap_in_use();
    std::uint64_t revision = size;
    for (auto _ : run) {
        const auto item = organisation(1 + revision % size);
        ++revision;
        current = current.with(
            {{revision, "id", "ops", item.kind, item.name, false, item.spec}});
    }
    run.counters["size"] = static_cast<double>(size);
    run.counters["memory_kib"] = static_cast<double>(after - before) / 1024.0;
}

} // namespace

BENCHMARK(change_one_organisation)
    ->Arg(1000)
    ->Arg(5000)
    ->Arg(10000)
    ->Arg(20000)
    ->Arg(43000)
    ->Unit(benchmark::kMicrosecond);
