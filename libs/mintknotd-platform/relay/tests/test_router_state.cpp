#include <mintknot/relay/router_state.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

policy::usage_map used(std::int64_t repeats) {
    return {{"llm", {10, repeats}}};
}

} // namespace

Test(router_state, retries_of_an_earlier_incarnation_still_count) {
    router_state state;
    note_peer_retries(state, "a", 1, used(7), start);
    note_peer_retries(state, "a", 2, used(1), start + std::chrono::seconds(5));
    const auto fleet =
        fleet_usage_of(state, "llm", start + std::chrono::seconds(5));
    cr_assert(fleet.peers.retries == 8);
    cr_assert(fleet.heard == 1);
    const auto later =
        fleet_usage_of(state, "llm", start + std::chrono::seconds(11));
    cr_assert(later.peers.retries == 1);
}

Test(router_state, retries_of_a_silent_peer_count_until_the_window_ends) {
    router_state state;
    note_peer_retries(state, "a", 1, used(7), start);
    const auto fleet =
        fleet_usage_of(state, "llm", start + std::chrono::seconds(8));
    cr_assert(fleet.peers.retries == 7);
    cr_assert(fleet.heard == 0);
    note_peer_retries(state, "b", 1, used(0), start + std::chrono::seconds(20));
    cr_assert(state.retries_of_peers.size() == 1);
}

Test(router_state, queued_tokens_of_silent_peers_are_discarded) {
    router_state state;
    note_peer_waiting(state, "a", {{"llm", 1000.0}}, start);
    note_peer_waiting(state, "b", {{"llm", 3000.0}}, start);
    cr_assert(peer_tokens_ahead(state, "llm", start) == 2000.0);
    cr_assert(peer_tokens_ahead(state, "other", start) == 0.0);
    note_peer_waiting(state, "b", {}, start);
    cr_assert(peer_tokens_ahead(state, "llm", start) == 500.0);
    const base::steady_time later = start + std::chrono::seconds(5);
    note_peer_waiting(state, "c", {{"llm", 10.0}}, later);
    cr_assert(peer_tokens_ahead(state, "llm", later) == 5.0);
    cr_assert(state.waiting_of_peers.size() == 1);
}

// Guards against metrics that grow with the number of organisations.
Test(relay_metrics, labels_of_organisations_are_bounded) {
    relay_metrics metrics;
    for (int i = 0; i < 500; ++i)
        metrics.count_share(
            {i, "o" + std::to_string(i), policy::capacity_denial::none, 10.0});
    const std::string text = metrics.text();
    cr_assert(
        text.find("mintknot_capacity_cost_total{organisation=\"other\","
                  "result=\"served\"} 4360") != std::string::npos);
    cr_assert(text.find("priority=\"10\"") == std::string::npos);
}
