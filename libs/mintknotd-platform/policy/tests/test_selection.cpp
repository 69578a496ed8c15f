#include <mintknot/policy/selection.hpp>

#include <criterion/criterion.h>

#include <random>
#include <set>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

/// Engines of one service, and the inputs of a selection among them.
struct small_pool {
    small_pool() {
        target.name = "llm";
        target.max_connections = 1000;
        target.engine = traffic::engine_spec{10000, base::milliseconds(500)};
    }
    void add_server(
        const std::string& id, traffic::engine_phase phase,
        const std::string& data_centre = "a") {
        traffic::server value;
        value.id = id;
        value.service = "llm";
        value.data_centre = data_centre;
        value.phase = phase;
        value.slots = 64;
        apply(servers, id, ++version, value);
    }
    selection_inputs inputs() {
        return {servers,           loads, health, rates, target, "a", 4, start,
                [] { return 0.5; }};
    }

    traffic::server_table servers;
    traffic::load_view loads;
    health_view health;
    prefill_rates rates;
    traffic::service target;
    std::uint64_t version = 0;
};

std::string name_of(const traffic::server* chosen) {
    return chosen == nullptr ? "none" : chosen->id;
}

} // namespace

Test(selection, decode_prefers_engine_with_most_free_memory) {
    small_pool pool;
    pool.add_server("d1", traffic::engine_phase::decode);
    pool.add_server("d2", traffic::engine_phase::decode);
    add(pool.loads, "d1", {1, 0.0, 5000.0});
    cr_assert(
        name_of(select_decode(pool.inputs(), {}, {3000.0, 1.0, ""})) == "d2");
}

Test(selection, decode_prefers_fullest_engine_if_all_are_nearly_full) {
    small_pool pool;
    pool.add_server("d1", traffic::engine_phase::decode);
    pool.add_server("d2", traffic::engine_phase::decode);
    pool.add_server("d3", traffic::engine_phase::decode);
    add(pool.loads, "d1", {1, 0.0, 7500.0});
    add(pool.loads, "d2", {1, 0.0, 8500.0});
    add(pool.loads, "d3", {1, 0.0, 9500.0});
    cr_assert(
        name_of(select_decode(pool.inputs(), {}, {1000.0, 1.0, ""})) == "d2");
    // The remaining free memory is on one engine.
    cr_assert(
        name_of(select_decode(pool.inputs(), {}, {2500.0, 1.0, ""})) == "d1");
}

Test(selection, decode_needs_free_memory) {
    small_pool pool;
    pool.add_server("d1", traffic::engine_phase::decode);
    add(pool.loads, "d1", {1, 0.0, 8000.0});
    cr_assert(select_decode(pool.inputs(), {}, {3000.0, 1.0, ""}) == nullptr);
}

Test(selection, oversized_request_goes_to_empty_engine) {
    small_pool pool;
    pool.add_server("d1", traffic::engine_phase::decode);
    cr_assert(
        name_of(select_decode(pool.inputs(), {}, {9900.0, 0.9, ""})) == "d1");
}

Test(selection, selection_respects_phases) {
    small_pool pool;
    pool.add_server("p", traffic::engine_phase::prefill);
    pool.add_server("d", traffic::engine_phase::decode);
    cr_assert(name_of(select_prefill(pool.inputs(), {}, 100.0)) == "p");
    cr_assert(name_of(select_decode(pool.inputs(), {}, {1.0, 1.0, ""})) == "d");
    cr_assert(select_prefill(pool.inputs(), {"p"}, 100.0) == nullptr);
}

Test(selection, prefill_prefers_engine_that_finishes_first) {
    small_pool pool;
    pool.add_server("p1", traffic::engine_phase::prefill);
    pool.add_server("p2", traffic::engine_phase::prefill);
    add(pool.loads, "p1", {1, 6000.0, 0.0});
    cr_assert(name_of(select_prefill(pool.inputs(), {}, 100.0)) == "p2");
    // A slow engine is not chosen although its queue is empty.
    for (int i = 0; i < 50; ++i)
        note_prefill(pool.rates, "p2", 100.0, base::milliseconds(1000));
    cr_assert(name_of(select_prefill(pool.inputs(), {}, 100.0)) == "p1");
}

Test(selection, full_servers_do_not_make_avoided_one_eligible) {
    small_pool pool;
    pool.add_server("d1", traffic::engine_phase::decode);
    pool.add_server("d2", traffic::engine_phase::decode);
    add(pool.loads, "d1", {1, 0.0, 9900.0});
    note_call_result(pool.health, "d2", call_result::unreachable, start);
    cr_assert(select_decode(pool.inputs(), {}, {3000.0, 1.0, ""}) == nullptr);
}

Test(selection, forecast_includes_avoided_engine) {
    small_pool pool;
    pool.add_server("d1", traffic::engine_phase::decode);
    pool.add_server("d2", traffic::engine_phase::decode);
    add(pool.loads, "d1", {1, 0.0, 9900.0});
    note_peer_warning(
        pool.health, "d2", start + std::chrono::milliseconds(300), start);
    selection_inputs inputs = pool.inputs();
    inputs.mean_hold_time = base::milliseconds(60000);
    const capacity_summary seen = summarize_capacity(inputs, {3000.0, 1.0, ""});
    cr_assert(seen.engines == 2 && seen.avoided == 1);
    cr_assert(seen.forecast.wait == base::milliseconds(300));
}

Test(selection, avoided_server_is_used_if_there_is_no_other) {
    small_pool pool;
    pool.add_server("d1", traffic::engine_phase::decode);
    note_call_result(pool.health, "d1", call_result::unreachable, start);
    cr_assert(
        name_of(select_decode(pool.inputs(), {}, {10.0, 1.0, ""})) == "d1");
}

Test(selection, plain_prefers_own_data_centre_until_busy) {
    small_pool pool;
    pool.target.engine.reset();
    pool.add_server("near", traffic::engine_phase::none, "a");
    pool.add_server("far", traffic::engine_phase::none, "b");
    cr_assert(name_of(select_plain(pool.inputs(), {})) == "near");
    add(pool.loads, "near", {40, 0.0, 0.0});
    cr_assert(name_of(select_plain(pool.inputs(), {})) == "far");
}

Test(selection, decode_prefers_own_data_centre_until_fuller) {
    small_pool pool;
    pool.add_server("near", traffic::engine_phase::decode, "a");
    pool.add_server("far", traffic::engine_phase::decode, "b");
    add(pool.loads, "near", {1, 0.0, 2000.0});
    cr_assert(
        name_of(select_decode(pool.inputs(), {}, {100.0, 1.0, ""})) == "near");
    add(pool.loads, "near", {1, 0.0, 1000.0});
    cr_assert(
        name_of(select_decode(pool.inputs(), {}, {100.0, 1.0, ""})) == "far");
}

Test(selection, connection_limit_is_shared_among_instances) {
    small_pool pool;
    pool.target.max_connections = 8;
    pool.add_server("s", traffic::engine_phase::none);
    cr_assert(name_of(select_plain(pool.inputs(), {})) == "s");
    add(pool.loads, "s", {2, 0.0, 0.0});
    cr_assert(select_plain(pool.inputs(), {}) == nullptr);
}

Test(selection, same_loads_do_not_give_same_choice) {
    // Guards against herding: 86 instances with the same slightly outdated
    // loads sent their requests to the same few of 90 engines.
    small_pool pool;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "d" + std::to_string(i);
        pool.add_server(id, traffic::engine_phase::decode);
        add(pool.loads, id, {1, 0.0, 100.0 * i});
    }
    std::minstd_rand random(7);
    std::set<std::string> chosen;
    for (int instance = 0; instance < 86; ++instance) {
        selection_inputs inputs = pool.inputs();
        inputs.draw_uniform = [&random] {
            return std::uniform_real_distribution<double>(0.0, 1.0)(random);
        };
        chosen.insert(name_of(select_decode(inputs, {}, {100.0, 1.0, ""})));
    }
    cr_assert(chosen.size() > 10);
}

Test(selection, all_servers_are_tried_if_sample_is_full) {
    small_pool pool;
    for (int i = 0; i < 60; ++i) {
        const std::string id = "d" + std::to_string(i);
        pool.add_server(id, traffic::engine_phase::decode);
        if (i != 30)
            add(pool.loads, id, {1, 0.0, 9990.0});
    }
    cr_assert(
        name_of(select_decode(pool.inputs(), {}, {100.0, 1.0, ""})) == "d30");
}
