#include <mintknot/policy/server_health.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {
const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
using std::chrono::seconds;
} // namespace

Test(server_health, single_failure_does_not_eject) {
    health_view view;
    note_call_result(view, "s", call_result::failed, start);
    cr_assert(!is_avoided(view, "s", start));
}

Test(server_health, consecutive_failures_eject) {
    health_view view;
    cr_assert(!note_call_result(view, "s", call_result::failed, start));
    cr_assert(!note_call_result(view, "s", call_result::failed, start));
    cr_assert(note_call_result(view, "s", call_result::failed, start));
    cr_assert(is_avoided(view, "s", start));
    cr_assert(!is_avoided(view, "s", start + seconds(10)));
}

Test(server_health, only_repeated_slow_answers_eject) {
    health_view view;
    cr_assert(!note_call_result(view, "s", call_result::slow, start));
    note_call_result(view, "s", call_result::good, start);
    cr_assert(!note_call_result(view, "s", call_result::slow, start));
    cr_assert(note_call_result(view, "s", call_result::slow, start));
}

Test(server_health, single_rejection_does_not_pause) {
    health_view view;
    for (int i = 0; i < 20; ++i) {
        cr_assert(!note_call_result(view, "s", call_result::rejected, start));
        note_call_result(view, "s", call_result::good, start);
    }
    cr_assert(!is_avoided(view, "s", start));
}

Test(server_health, server_that_rejects_everything_is_paused) {
    // An engine that was changing its phase was empty, was chosen for that, and
    // rejected 153 requests.
    health_view view;
    cr_assert(!note_call_result(view, "s", call_result::rejected, start));
    cr_assert(note_call_result(view, "s", call_result::rejected, start));
    cr_assert(is_avoided(view, "s", start));
    const auto first = avoided_until(view, "s");
    note_call_result(view, "s", call_result::rejected, first);
    cr_assert(avoided_until(view, "s") - first > first - start);
    for (int i = 0; i < 50; ++i)
        note_call_result(view, "s", call_result::rejected, start + seconds(9));
    cr_assert(!is_avoided(view, "s", start + seconds(12)));
}

Test(server_health, ejections_of_unreachable_server_grow) {
    health_view view;
    base::steady_time now = start;
    base::milliseconds last{0};
    for (int i = 0; i < 3; ++i) {
        cr_assert(note_call_result(view, "s", call_result::unreachable, now));
        const auto time = base::time_left(avoided_until(view, "s"), now);
        cr_assert(time > last);
        last = time;
        now = avoided_until(view, "s") + base::milliseconds(1);
    }
}

Test(server_health, health_check_ends_or_extends_ejection) {
    health_view view;
    note_call_result(view, "s", call_result::unreachable, start);
    note_health_check(view, "s", false, start + seconds(1));
    cr_assert(is_avoided(view, "s", start + seconds(2)));
    note_health_check(view, "s", true, start + seconds(2));
    cr_assert(!is_avoided(view, "s", start + seconds(2)));
}

Test(server_health, recent_own_success_overrides_warning) {
    health_view view;
    note_peer_warning(view, "s", start + seconds(5), start);
    cr_assert(is_avoided(view, "s", start));
    health_view other;
    note_call_result(other, "s", call_result::good, start);
    note_peer_warning(
        other, "s", start + seconds(5), start + base::milliseconds(100));
    cr_assert(!is_avoided(other, "s", start + base::milliseconds(100)));
}

Test(server_health, engine_is_avoided_while_changing_phase) {
    health_view view;
    note_phase_change(view, "s", start + seconds(9));
    cr_assert(is_avoided(view, "s", start));
    end_phase_change(view, "s");
    cr_assert(!is_avoided(view, "s", start));
}

Test(server_health, late_peer_message_does_not_restart_phase_change) {
    health_view view;
    note_peer_phase_change(view, "s", start + seconds(9));
    cr_assert(is_changing_phase(view, "s", start));
    end_phase_change(view, "s");
    note_peer_phase_change(view, "s", start + seconds(9));
    cr_assert(!is_changing_phase(view, "s", start));
}

Test(server_health, outage_starts_at_last_success) {
    health_view view;
    traffic::server first;
    first.id = "a";
    traffic::server second;
    second.id = "b";
    const std::vector<const traffic::server*> servers{&first, &second};
    cr_assert(outage_age(view, servers, start) == base::milliseconds{0});
    note_call_result(view, "a", call_result::good, start);
    note_call_result(view, "b", call_result::good, start + seconds(1));
    note_call_result(view, "b", call_result::unreachable, start + seconds(2));
    cr_assert(outage_age(view, servers, start + seconds(4)) == seconds(3));
}

Test(server_health, longest_reason_determines_avoidance_time) {
    health_view view;
    cr_assert(avoided_for(view, "s", start) == base::milliseconds{0});
    note_peer_warning(view, "s", start + seconds(1), start);
    cr_assert(avoided_for(view, "s", start) == seconds(1));
    note_phase_change(view, "s", start + seconds(4));
    cr_assert(avoided_for(view, "s", start) == seconds(4));
    cr_assert(avoided_for(view, "s", start + seconds(9)).count() == 0);
}

Test(server_health, peer_results_count_in_failure_share) {
    health_view view;
    note_peer_results(view, {{"a", {6, 4}}, {"b", {9, 0}}}, start);
    cr_assert_float_eq(failure_share(view, "a"), 4.0 / 11.0, 1e-9);
    cr_assert(failure_share(view, "b") == 0.0);
    cr_assert(!is_avoided(view, "a", start), "only own calls eject");
    forget(view, "a");
    cr_assert(failure_share(view, "a") == 0.0);
}

Test(server_health, network_failures_are_not_reported_to_peers) {
    health_view view;
    for (const call_result result :
         {call_result::good, call_result::failed, call_result::silent,
          call_result::slow, call_result::rejected, call_result::unreachable,
          call_result::misdirected})
        note_call_result(view, "a", result, start);
    const result_map reported = take_unreported(view);
    cr_assert(reported.size() == 1);
    cr_assert(reported.at("a").good == 1 && reported.at("a").bad == 2);
    cr_assert(reported.at("a").rejected == 1);
    cr_assert(take_unreported(view).empty());
}

Test(server_health, many_successes_outweigh_single_warning) {
    health_view view;
    const auto until = start + base::milliseconds(1500);
    note_peer_warning(view, "a", until, start);
    note_peer_warning(view, "b", until, start);
    note_peer_results(view, {{"a", {60, 5}}, {"b", {5, 0}}}, start);
    cr_assert(!is_avoided(view, "a", start));
    cr_assert(is_avoided(view, "b", start), "too few to outweigh it");
    // Without recent successes the warning is believed again.
    cr_assert(is_avoided(view, "a", start + base::milliseconds(300)));
}

Test(server_health, successes_do_not_outweigh_phase_change) {
    health_view view;
    note_phase_change(view, "a", start + base::milliseconds(1500));
    note_peer_results(view, {{"a", {60, 0}}}, start);
    cr_assert(is_avoided(view, "a", start));
}

Test(server_health, rejections_of_peers_pause_server) {
    health_view view;
    note_peer_results(view, {{"a", {0, 0, 1}}, {"b", {0, 0, 1}}}, start);
    cr_assert(
        !is_avoided(view, "a", start), "a single rejection does not pause");
    note_peer_results(view, {{"a", {0, 0, 1}}, {"b", {1, 0, 1}}}, start);
    cr_assert(is_avoided(view, "a", start));
    cr_assert(!is_avoided(view, "b", start), "it has answered another call");
    cr_assert(!is_avoided(view, "a", start + base::milliseconds(501)));
}

Test(server_health, unreported_results_are_bounded) {
    health_view view;
    for (int i = 0; i < 3000; ++i)
        note_call_result(view, "a", call_result::good, start);
    cr_assert(take_unreported(view).at("a").good == 1000);
}
