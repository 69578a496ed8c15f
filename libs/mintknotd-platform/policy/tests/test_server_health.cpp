#include <mintknot/policy/server_health.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {
const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
using std::chrono::seconds;
} // namespace

Test(server_health, one_failure_does_not_condemn) {
    health_view view;
    note(view, "s", call_result::failed, start);
    cr_assert(!avoided(view, "s", start));
}

Test(server_health, failures_in_a_row_do) {
    health_view view;
    cr_assert(!note(view, "s", call_result::failed, start));
    cr_assert(!note(view, "s", call_result::failed, start));
    cr_assert(note(view, "s", call_result::failed, start));
    cr_assert(avoided(view, "s", start));
    cr_assert(!avoided(view, "s", start + seconds(10)));
}

Test(server_health, slowness_counts_only_when_repeated) {
    health_view view;
    cr_assert(!note(view, "s", call_result::slow, start));
    note(view, "s", call_result::good, start);
    cr_assert(!note(view, "s", call_result::slow, start));
    cr_assert(note(view, "s", call_result::slow, start));
}

Test(server_health, one_rejection_says_nothing_of_health) {
    health_view view;
    for (int i = 0; i < 20; ++i) {
        cr_assert(!note(view, "s", call_result::rejected, start));
        note(view, "s", call_result::good, start);
    }
    cr_assert(!avoided(view, "s", start));
}

Test(server_health, a_server_that_rejects_everything_is_left_alone) {
    // Found in an incident: an engine that was changing its phase was empty,
    // was chosen for that, and turned 153 requests away.
    health_view view;
    cr_assert(!note(view, "s", call_result::rejected, start));
    cr_assert(note(view, "s", call_result::rejected, start));
    cr_assert(avoided(view, "s", start));
    const auto first = avoided_until(view, "s");
    note(view, "s", call_result::rejected, first);
    cr_assert(avoided_until(view, "s") - first > first - start);
    for (int i = 0; i < 50; ++i)
        note(view, "s", call_result::rejected, start + seconds(9));
    cr_assert(!avoided(view, "s", start + seconds(12)));
}

Test(server_health, an_unreachable_server_is_avoided_longer_each_time) {
    health_view view;
    base::steady_time now = start;
    base::milliseconds last{0};
    for (int i = 0; i < 3; ++i) {
        cr_assert(note(view, "s", call_result::unreachable, now));
        const auto time = base::time_left(avoided_until(view, "s"), now);
        cr_assert(time > last);
        last = time;
        now = avoided_until(view, "s") + base::milliseconds(1);
    }
}

Test(server_health, a_check_decides_when_a_server_is_back) {
    health_view view;
    note(view, "s", call_result::unreachable, start);
    note_check(view, "s", false, start + seconds(1));
    cr_assert(avoided(view, "s", start + seconds(2)));
    note_check(view, "s", true, start + seconds(2));
    cr_assert(!avoided(view, "s", start + seconds(2)));
}

Test(server_health, a_warning_does_not_beat_fresh_own_experience) {
    health_view view;
    warn(view, "s", start + seconds(5), start);
    cr_assert(avoided(view, "s", start));
    health_view other;
    note(other, "s", call_result::good, start);
    warn(other, "s", start + seconds(5), start + base::milliseconds(100));
    cr_assert(!avoided(other, "s", start + base::milliseconds(100)));
}

Test(server_health, an_engine_that_changes_its_phase_is_not_used) {
    health_view view;
    note_change(view, "s", start + seconds(9));
    cr_assert(avoided(view, "s", start));
    end_change(view, "s");
    cr_assert(!avoided(view, "s", start));
}

Test(server_health, a_peers_late_word_does_not_begin_a_change_again) {
    health_view view;
    note_peer_change(view, "s", start + seconds(9));
    cr_assert(changing(view, "s", start));
    end_change(view, "s");
    note_peer_change(view, "s", start + seconds(9));
    cr_assert(!changing(view, "s", start));
}

Test(server_health, an_outage_is_as_old_as_the_last_good_call) {
    health_view view;
    traffic::server first;
    first.id = "a";
    traffic::server second;
    second.id = "b";
    const std::vector<const traffic::server*> servers{&first, &second};
    cr_assert(outage_age(view, servers, start) == base::milliseconds{0});
    note(view, "a", call_result::good, start);
    note(view, "b", call_result::good, start + seconds(1));
    note(view, "b", call_result::unreachable, start + seconds(2));
    cr_assert(outage_age(view, servers, start + seconds(4)) == seconds(3));
}

Test(server_health, the_longest_reason_says_for_how_long_a_server_is_avoided) {
    health_view view;
    cr_assert(avoided_for(view, "s", start) == base::milliseconds{0});
    warn(view, "s", start + seconds(1), start);
    cr_assert(avoided_for(view, "s", start) == seconds(1));
    note_change(view, "s", start + seconds(4));
    cr_assert(avoided_for(view, "s", start) == seconds(4));
    cr_assert(avoided_for(view, "s", start + seconds(9)).count() == 0);
}

Test(server_health, what_peers_saw_counts_in_the_share_of_failures) {
    health_view view;
    note_peer_results(view, {{"a", {6, 4}}, {"b", {9, 0}}}, start);
    cr_assert_float_eq(failure_share(view, "a"), 4.0 / 11.0, 1e-9);
    cr_assert(failure_share(view, "b") == 0.0);
    cr_assert(!avoided(view, "a", start), "only own calls eject");
    forget(view, "a");
    cr_assert(failure_share(view, "a") == 0.0);
}

Test(server_health, only_what_says_something_of_the_server_is_told) {
    health_view view;
    for (const call_result result :
         {call_result::good, call_result::failed, call_result::silent,
          call_result::slow, call_result::rejected, call_result::unreachable,
          call_result::misdirected})
        note(view, "a", result, start);
    const result_map told = take_untold(view);
    cr_assert(told.size() == 1);
    cr_assert(told.at("a").good == 1 && told.at("a").bad == 2);
    cr_assert(told.at("a").rejected == 1);
    cr_assert(take_untold(view).empty());
}

Test(server_health, many_good_answers_outweigh_one_instances_warning) {
    health_view view;
    const auto until = start + base::milliseconds(1500);
    warn(view, "a", until, start);
    warn(view, "b", until, start);
    note_peer_results(view, {{"a", {60, 5}}, {"b", {5, 0}}}, start);
    cr_assert(!avoided(view, "a", start));
    cr_assert(avoided(view, "b", start), "too few to outweigh it");
    // A server that has stopped to answer is believed to have.
    cr_assert(avoided(view, "a", start + base::milliseconds(300)));
}

Test(server_health, an_order_is_not_outweighed) {
    health_view view;
    note_change(view, "a", start + base::milliseconds(1500));
    note_peer_results(view, {{"a", {60, 0}}}, start);
    cr_assert(avoided(view, "a", start));
}

Test(server_health, what_peers_alone_reject_is_paused) {
    health_view view;
    note_peer_results(view, {{"a", {0, 0, 1}}, {"b", {0, 0, 1}}}, start);
    cr_assert(!avoided(view, "a", start), "one says nothing");
    note_peer_results(view, {{"a", {0, 0, 1}}, {"b", {1, 0, 1}}}, start);
    cr_assert(avoided(view, "a", start));
    cr_assert(!avoided(view, "b", start), "it has answered another one well");
    cr_assert(!avoided(view, "a", start + base::milliseconds(501)));
}

Test(server_health, results_that_nobody_asks_for_do_not_grow) {
    health_view view;
    for (int i = 0; i < 3000; ++i)
        note(view, "a", call_result::good, start);
    cr_assert(take_untold(view).at("a").good == 1000);
}
