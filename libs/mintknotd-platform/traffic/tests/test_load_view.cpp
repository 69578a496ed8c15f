#include <mintknot/traffic/load_view.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::traffic;

namespace {
const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
}

Test(load_view, sums_own_and_peers_loads) {
    load_view view;
    add(view, "s", {1, 100.0, 0.0});
    set_peer(view, "p", {{"s", {2, 0.0, 50.0}}}, start);
    const server_load sum = total(view, "s");
    cr_assert(sum.calls == 3);
    cr_assert(sum.prefill_tokens == 100.0);
    cr_assert(sum.memory_tokens == 50.0);
}

Test(load_view, a_silent_peers_loads_lapse) {
    load_view view;
    set_peer(view, "p", {{"s", {2, 0.0, 0.0}}}, start);
    expire(view, start + load_life);
    cr_assert(total(view, "s").calls == 2);
    expire(view, start + load_life + base::milliseconds(1));
    cr_assert(total(view, "s").calls == 0);
    cr_assert(view.of_peers.empty());
}

Test(load_view, the_sum_follows_every_change_of_a_peer) {
    load_view view;
    set_peer(view, "p", {{"s", {2, 0.0, 50.0}}}, start);
    set_peer(view, "q", {{"s", {1, 0.0, 20.0}}}, start);
    add_to_peer(view, "p", {{"t", {1, 300.0, 0.0}}}, start);
    cr_assert(total(view, "s").memory_tokens == 70.0);
    cr_assert(total(view, "t").prefill_tokens == 300.0);
    set_peer(view, "p", {{"s", {1, 0.0, 30.0}}}, start);
    cr_assert(total(view, "s").calls == 2);
    cr_assert(total(view, "s").memory_tokens == 50.0);
    cr_assert(total(view, "t").calls == 0);
    set_peer(view, "q", {}, start);
    set_peer(view, "p", {}, start);
    cr_assert(view.of_peers.empty());
}

Test(load_view, taking_back_leaves_nothing) {
    load_view view;
    add(view, "s", {1, 0.0, 10.0});
    remove(view, "s", {1, 0.0, 10.0});
    remove(view, "s", {1, 0.0, 10.0});
    cr_assert(view.own.empty());
}
