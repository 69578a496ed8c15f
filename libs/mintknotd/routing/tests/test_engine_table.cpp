#include "engine_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::routing;
using namespace mintknot::routing::tests;

Test(engine_table, failures_eject_within_the_bound_of_the_pool) {
    engine_table table;
    for (const char* name : {"a", "b", "c"})
        add_engine(table, name, config::pool_role::prefill);
    for (engine_entry& engine : table.engines)
        for (int i = 0; i < 3; ++i)
            note_failure(table, engine, start);
    // Half of three engines: one may be ejected, never two.
    cr_assert_str_eq(
        unusable_because(table.engines[0], start).data(),
        "ejected after failures");
    cr_assert(unusable_because(table.engines[1], start).empty());
    cr_assert(unusable_because(table.engines[2], start).empty());
    const auto later = start + std::chrono::seconds(3);
    cr_assert(unusable_because(table.engines[0], later).empty());
}

Test(engine_table, older_loads_are_ignored_and_restarts_are_seen) {
    engine_table table;
    add_engine(table, "a", config::pool_role::both);
    engine_load load;
    load.incarnation = 2;
    load.kv_used = 7;
    load.read_at = start - std::chrono::seconds(1);
    cr_assert(!take_load(table.engines[0], load));
    cr_assert_eq(table.engines[0].load.kv_used, 0U);
    load.read_at = start + std::chrono::seconds(1);
    cr_assert(take_load(table.engines[0], load));
    cr_assert_eq(table.engines[0].load.kv_used, 7U);
}

Test(engine_table, follows_the_configuration) {
    const auto current = config::catalogue::from(
        {{config::resource_kind::service, "s", 1, {{"model", "m"}}},
         {config::resource_kind::pool,
          "p",
          2,
          {{"service", "s"}, {"role", "prefill"}}},
         {config::resource_kind::backend_server,
          "e1",
          3,
          {{"pool", "p"}, {"address", "127.0.0.1:1"}, {"data_centre", "dc1"}}}},
        3);
    engine_table table;
    follow_configuration(table, current, "s", "dc2");
    cr_assert(table.engines.empty());
    follow_configuration(table, current, "s", "dc1");
    cr_assert_eq(table.engines.size(), 1U);
    cr_assert(can_prefill(table.engines[0]));
    cr_assert(!can_decode(table.engines[0]));
    follow_configuration(table, config::catalogue(), "s", "dc1");
    cr_assert_str_eq(
        unusable_because(table.engines[0], start).data(), "not configured");
}
