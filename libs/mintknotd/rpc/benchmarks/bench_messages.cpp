// Bytes and processor time of the messages between instances.
#include "../src/codec.hpp"

#include <mintknot/base/random.hpp>
#include <mintknot/rpc/heartbeat_codec.hpp>

#include <benchmark/benchmark.h>

using namespace mintknot;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
constexpr int seconds = 20;
constexpr int engines_for_each_instance = 4;

cluster::member member_number(std::int64_t number, const std::string& where) {
    cluster::member item;
    item.id = {where, "entry-" + std::to_string(number), 1800000000000ULL};
    item.rpc = {"10.12.14.16", 7000};
    item.heartbeat = {"10.12.14.16", 7001};
    item.state = cluster::member_state::ready;
    item.applied_revision = 123456;
    item.last_heard = start;
    return item;
}

std::vector<cluster::named_load> loads_of(std::int64_t instance) {
    std::vector<cluster::named_load> loads;
    for (int i = 0; i < engines_for_each_instance; ++i) {
        routing::engine_load load;
        load.incarnation = 1800000000000ULL;
        load.kv_used = 120000;
        load.kv_capacity = 200000;
        load.running = 40;
        load.step_ms = 31.0;
        load.read_at = start;
        loads.push_back(
            {"decode-" + std::to_string(instance) + "-" + std::to_string(i),
             load});
    }
    return loads;
}

/// What one instance sends and receives in a second, in a data centre of so
/// many instances and beside 14 other data centres.
void one_second_of_heartbeats(benchmark::State& run) {
    const std::int64_t size = run.range(0);
    cluster::membership state;
    state.self = member_number(0, "north-1");
    for (std::int64_t i = 1; i < size; ++i)
        state.others.emplace(
            "north-1.entry-" + std::to_string(i), member_number(i, "north-1"));
    std::vector<std::string> received;
    for (std::int64_t i = 1; i < size; ++i) {
        cluster::heartbeat beat;
        beat.sender = member_number(i, "north-1");
        beat.loads = loads_of(i);
        received.push_back(rpc::encode(beat, start));
    }
    const auto interval = cluster::beat_interval(state);
    const auto beats = std::chrono::milliseconds(1000 * seconds) / interval;
    std::uint64_t bytes = 0;
    for (auto _ : run) {
        bytes = 0;
        for (int beat = 0; beat < beats; ++beat) {
            const auto now = start + beat * interval;
            for (const auto& item : cluster::beat(state, loads_of(0), now))
                bytes += rpc::encode(item.content, now).size();
            for (const std::string& item : received)
                cluster::take_heartbeat(
                    state, *rpc::decode_heartbeat(item, now), now);
        }
    }
    run.counters["size"] = static_cast<double>(size);
    run.counters["sent_bytes_per_s"] = static_cast<double>(bytes) / seconds;
    // The time of an iteration covers so many seconds of the protocol.
    run.counters["seconds"] = seconds;
}

void place_query_message(benchmark::State& run) {
    const auto tokens = static_cast<std::size_t>(run.range(0));
    const std::string prompt(tokens * base::token_bytes, 'x');
    std::size_t bytes = 0;
    for (auto _ : run) {
        routing::place_query query;
        query.request = "north-1.entry-1.19363f2c0a1.0123456789abcdef";
        query.attempt = query.request + ".1";
        query.service = "assistant";
        query.request_class = "diagnosis";
        query.organisation = "norrvik";
        query.prompt_tokens = tokens;
        query.prefix = base::sparse_prefix(base::block_hashes(prompt));
        rpc::wire::place_query message;
        rpc::fill(message, query);
        bytes = message.SerializeAsString().size();
    }
    run.counters["size"] = static_cast<double>(tokens);
    run.counters["bytes"] = static_cast<double>(bytes);
}

} // namespace

BENCHMARK(one_second_of_heartbeats)
    ->Arg(3)
    ->Arg(9)
    ->Arg(18)
    ->Arg(26)
    ->Arg(40)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(place_query_message)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(4000)
    ->Arg(16000)
    ->Arg(64000)
    ->Unit(benchmark::kMicrosecond);
