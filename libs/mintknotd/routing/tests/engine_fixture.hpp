// Engines for the tests of this folder.
#ifndef MINTKNOT_ROUTING_TESTS_ENGINE_FIXTURE_HPP
#define MINTKNOT_ROUTING_TESTS_ENGINE_FIXTURE_HPP

#include <mintknot/base/random.hpp>
#include <mintknot/routing/scheduler.hpp>

namespace mintknot::routing::tests {

inline const base::steady_time start =
    base::steady_time{} + std::chrono::hours(1);

inline void add_engine(
    engine_table& table, const std::string& name, config::pool_role role,
    std::uint64_t kv_capacity = 10000) {
    const auto number = static_cast<engine_number>(table.engines.size());
    table.by_name.emplace(name, number);
    engine_entry engine;
    engine.name = name;
    engine.pool = std::string(config::to_string(role));
    engine.role = role;
    engine.listed = true;
    engine.link_tokens_per_second = 100000;
    engine.prefill_rate = 10000;
    engine.load.kv_capacity = kv_capacity;
    engine.load.incarnation = 1;
    engine.load.read_at = start;
    table.engines.push_back(engine);
}

inline place_query query_of(std::uint64_t prompt, std::uint64_t output) {
    place_query query;
    query.request = "r";
    query.attempt = base::random_token();
    query.prompt_tokens = prompt;
    query.max_tokens = output;
    query.time_left = base::milliseconds{60000};
    return query;
}

/// A scheduler with one prefill and one decode engine.
inline scheduler small_scheduler(std::uint64_t kv_capacity = 10000) {
    scheduler state({});
    add_engine(state.table, "p1", config::pool_role::prefill);
    add_engine(state.table, "d1", config::pool_role::decode, kv_capacity);
    return state;
}

} // namespace mintknot::routing::tests

#endif
