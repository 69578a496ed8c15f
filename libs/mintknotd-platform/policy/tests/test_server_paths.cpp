#include <mintknot/policy/server_paths.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time start = base::steady_time{} + milliseconds{100000};
constexpr milliseconds connect_timeout{200};

double draw_nothing() {
    return 0.0;
}

std::vector<std::string>
choose(const path_view& view, const std::vector<tunnel_peer>& peers) {
    return choose_tunnel_peers(view, peers, start, draw_nothing);
}

} // namespace

Test(server_paths, one_server_out_of_reach_does_not_isolate) {
    path_view view;
    note_direct_failure(view, "a", start);
    note_direct_failure(view, "a", start + milliseconds{10});
    cr_assert(!is_isolated(view, start + milliseconds{20}));
}

Test(server_paths, several_out_of_reach_isolate_until_one_is_reached) {
    path_view view;
    note_direct_success(view, "c", start);
    note_direct_failure(view, "a", start + milliseconds{10});
    note_direct_failure(view, "b", start + milliseconds{20});
    cr_assert(is_isolated(view, start + milliseconds{30}));
    note_direct_success(view, "c", start + milliseconds{40});
    cr_assert(!is_isolated(view, start + milliseconds{50}));
}

Test(server_paths, isolation_ends_without_fresh_failures) {
    path_view view;
    note_direct_failure(view, "a", start);
    note_direct_failure(view, "b", start);
    cr_assert(is_isolated(view, start + milliseconds{1900}));
    cr_assert(!is_isolated(view, start + milliseconds{2100}));
}

Test(server_paths, a_server_that_only_peers_reach_is_not_blamed) {
    path_view view;
    note_direct_failure(view, "a", start);
    cr_assert(!is_path_lost(view, "a", start));
    note_tunnel_success(view, "a", "peer", start + milliseconds{5});
    cr_assert(is_path_lost(view, "a", start + milliseconds{10}));
    cr_assert(!is_path_lost(view, "b", start + milliseconds{10}));
    note_direct_success(view, "a", start + milliseconds{20});
    cr_assert(!is_path_lost(view, "a", start + milliseconds{30}));
}

Test(server_paths, a_peer_is_asked_at_once_only_where_the_own_way_failed) {
    path_view view;
    cr_assert(
        time_before_tunnel(view, "a", connect_timeout, start) ==
        connect_timeout / 2);
    note_direct_failure(view, "a", start);
    cr_assert(
        time_before_tunnel(view, "a", connect_timeout, start) ==
        milliseconds{0});
    cr_assert(
        time_before_tunnel(view, "b", connect_timeout, start) ==
        connect_timeout / 2);
}

Test(server_paths, peers_that_have_connected_are_asked_first) {
    path_view view;
    note_tunnel_success(view, "s", "far", start - milliseconds{100});
    note_tunnel_failure(view, "near", start - milliseconds{100});
    const auto hosts =
        choose(view, {{"near", true}, {"other", false}, {"far", false}});
    cr_assert(hosts == (std::vector<std::string>{"far", "other", "near"}));
}

Test(server_paths, peers_of_the_data_centre_are_asked_before_others) {
    const auto hosts =
        choose({}, {{"b1", false}, {"a1", true}, {"b2", false}, {"a2", true}});
    cr_assert(hosts == (std::vector<std::string>{"a1", "a2", "b1"}));
}
