#include "engine_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::routing;
using namespace mintknot::routing::tests;
using config::pool_role;

namespace {

struct four_engines {
    four_engines() {
        add_engine(table, "p1", pool_role::prefill);
        add_engine(table, "p2", pool_role::prefill);
        add_engine(table, "d1", pool_role::decode);
        add_engine(table, "d2", pool_role::decode);
    }
    place_choice choose_for(const place_query& query) const {
        return choose(table, prefixes, query, goal, start);
    }
    std::string prefill_for(const place_query& query) const {
        return table.engines[choose_for(query).chosen->prefill].name;
    }
    std::string decode_for(const place_query& query) const {
        return table.engines[choose_for(query).chosen->decode].name;
    }

    engine_table table;
    prefix_index prefixes{1000};
    place_goal goal;
};

} // namespace

Test(placement, avoids_the_longer_queue_and_the_fuller_memory) {
    four_engines engines;
    engines.table.engines[0].pending_prefill = 5000;
    engines.table.engines[2].load.kv_used = 8000;
    cr_assert(engines.prefill_for(query_of(100, 10)) == "p2");
    cr_assert(engines.decode_for(query_of(100, 10)) == "d2");
}

Test(placement, weighs_a_cached_prefix_against_the_queue) {
    four_engines engines;
    auto query = query_of(2000, 10);
    query.prefix = {{1, 1}, {2, 2}, {16, 16}, {31, 31}};
    engines.prefixes.add(0, query.prefix);
    cr_assert(engines.prefill_for(query) == "p1");
    cr_assert(engines.choose_for(query).chosen->cached_tokens == 31 * 64);
    // With a queue of 1.9 s the target would be missed: better compute anew.
    engines.table.engines[0].pending_prefill = 19000;
    cr_assert(engines.prefill_for(query) == "p2");
}

Test(placement, the_weight_of_wasted_prefill_moves_the_choice) {
    four_engines engines;
    auto query = query_of(2000, 10);
    query.prefix = {{31, 31}};
    engines.prefixes.add(0, query.prefix);
    engines.table.engines[0].pending_prefill = 7000;
    engines.goal.weights = {4.0, 0.1};
    cr_assert(engines.prefill_for(query) == "p2");
    engines.goal.weights = {0.1, 4.0};
    cr_assert(engines.prefill_for(query) == "p1");
}

Test(placement, never_promises_memory_that_is_not_there) {
    four_engines engines;
    const auto choice = engines.choose_for(query_of(9000, 2000));
    cr_assert(!choice.chosen.has_value());
    cr_assert(choice.code == base::reason::no_capacity);
}

Test(placement, leaves_out_engines_that_failed_or_leave) {
    four_engines engines;
    auto query = query_of(100, 10);
    query.excluded = {"p1"};
    engines.table.engines[2].load.leaving = true;
    cr_assert(engines.prefill_for(query) == "p2");
    cr_assert(engines.decode_for(query) == "d2");
    query.excluded = {"p1", "p2"};
    cr_assert(engines.choose_for(query).code == base::reason::no_engine);
}

Test(placement, a_kept_result_stays_where_it_is) {
    four_engines engines;
    auto query = query_of(100, 10);
    query.prefilled_on = "p1";
    query.excluded = {"d1"};
    engines.table.engines[0].pending_prefill = 100000;
    engines.table.engines[0].leaving = true;
    cr_assert(engines.prefill_for(query) == "p1");
    cr_assert(engines.decode_for(query) == "d2");
}

Test(placement, alone_takes_only_usable_engines) {
    four_engines engines;
    engines.table.engines[0].load.reachable = false;
    engines.table.engines[3].load.kv_used = 10000;
    for (int i = 0; i < 50; ++i) {
        const auto choice =
            choose_alone(engines.table, query_of(10, 10), start);
        cr_assert_eq(choice.chosen->prefill, 1U);
        cr_assert_eq(choice.chosen->decode, 2U);
    }
}
