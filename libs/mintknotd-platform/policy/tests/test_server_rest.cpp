#include <mintknot/policy/placement.hpp>
#include <mintknot/policy/server_rest.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

using base::milliseconds;

const base::steady_time start{std::chrono::hours(1)};

/// Servers of a plain service and of a model service, with their state.
struct fixture {
    fixture() {
        for (const char* id : {"a", "b"})
            add(id, "app", traffic::engine_phase::none);
        for (const char* id : {"d1", "d2"})
            add(id, "llm", traffic::engine_phase::decode);
        model.engine = traffic::engine_spec{10000, milliseconds(500)};
    }
    void add(const char* id, const char* service, traffic::engine_phase phase) {
        traffic::server row;
        row.id = id;
        row.service = service;
        row.phase = phase;
        row.slots = 8;
        traffic::apply(servers, id, ++version, row);
    }
    placement place(const traffic::service& target, placement_kind kind) {
        placement_query query;
        query.service = target.name;
        query.kind = kind;
        query.memory_tokens = 100.0;
        return choose_servers(
            {servers, loads, health, rates, target, "", 1, start,
             [] { return 0.5; }},
            query);
    }

    traffic::server_table servers;
    traffic::load_view loads;
    health_view health;
    prefill_rates rates;
    traffic::service app{"app", "/health", 100, std::nullopt};
    traffic::service model{"llm", "/health", 100, std::nullopt};
    std::uint64_t version = 0;
};

} // namespace

Test(server_rest, lasts_as_long_as_requested_up_to_the_maximum) {
    rest_view view;
    cr_assert(note_rest(view, "s", milliseconds(3000), start));
    cr_assert(!note_rest(view, "s", milliseconds(500), start));
    cr_assert(rests(view, "s", start + milliseconds(2999)));
    cr_assert(!rests(view, "s", start + milliseconds(3000)));
    cr_assert(!rests(view, "t", start));
    cr_assert(!note_rest(view, "t", milliseconds(0), start));
    note_rest(view, "u", std::chrono::hours(1000), start);
    cr_assert(rest_end(view, "u") == start + max_rest);
}

Test(server_rest, a_resting_server_is_not_chosen_without_alternative) {
    fixture f;
    note_rest(f.health.resting, "a", milliseconds(3000), start);
    cr_assert(f.place(f.app, placement_kind::plain).server == "b");
    note_rest(f.health.resting, "b", milliseconds(2000), start);
    cr_assert(f.place(f.app, placement_kind::plain).server.empty());
    cr_assert(
        *time_until_first_rest_end(
            f.health.resting, traffic::open_servers(f.servers, "app"), start) ==
        milliseconds(2000));
}

Test(server_rest, the_capacity_forecast_waits_for_the_first_rest_end) {
    fixture f;
    note_rest(f.health.resting, "d1", milliseconds(3000), start);
    note_rest(f.health.resting, "d2", milliseconds(2000), start);
    const placement placed = f.place(f.model, placement_kind::decode);
    cr_assert(placed.server.empty());
    cr_assert(placed.capacity.forecast.wait == milliseconds(2000));
}

Test(server_rest, resting_servers_are_excluded_from_scheduler_queries) {
    fixture f;
    note_rest(f.health.resting, "a", milliseconds(3000), start);
    placement_query query;
    query.service = "app";
    query.may_reuse_excluded = true;
    exclude_unavailable(query, f.servers, f.health, start);
    cr_assert(query.excluded.contains("a"));
    cr_assert(!query.excluded.contains("b"));
    cr_assert(!query.may_reuse_excluded);
}
