#include <mintknot/policy/plain_flow.hpp>
#include <mintknot/policy/priority_reserve.hpp>
#include <mintknot/policy/service_times.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

void observe(service_times& times, const std::string& id, int calls, int ms) {
    note_reported_times(times, {{id, {calls, 1.0 * calls * ms, 0.0}}}, start);
}

} // namespace

// Guards against a service time that grows with the queue, so that a server
// which is busy seems slow.
Test(service_times, queueing_is_taken_out) {
    service_times times;
    for (int i = 0; i < 10; ++i)
        note_call_time(times, "i", milliseconds(240), 18, 6, start);
    const expected_service found = service_time_of(&times, "i", 1.0, start);
    cr_assert(found.learned && found.ms == 60.0, "%f", found.ms);
    cr_assert(calls_ahead(5, 6) == 0 && calls_ahead(6, 6) == 1);
}

// Guards against decisions by a few calls, and by those of long ago.
Test(service_times, few_or_old_calls_are_not_used) {
    service_times times;
    observe(times, "i", 7, 400);
    cr_assert(!service_time_of(&times, "i", 50.0, start).learned);
    observe(times, "i", 1, 400);
    const auto later = start + milliseconds(500);
    const expected_service found = service_time_of(&times, "i", 50.0, later);
    cr_assert(found.learned && found.ms == 400.0);
    cr_assert(found.age == milliseconds(500));
    const auto much_later = start + milliseconds(61000);
    cr_assert(service_time_of(&times, "i", 50.0, much_later).ms == 50.0);
    cr_assert(!service_time_of(nullptr, "i", 50.0, start).learned);
}

Test(service_times, a_change_of_speed_is_learned_within_a_hundred_calls) {
    service_times times;
    observe(times, "i", 1000, 60);
    for (int i = 0; i < 100; ++i)
        observe(times, "i", 1, 120);
    cr_assert(service_time_of(&times, "i", 1.0, start).ms > 105.0);
}

// Guards against the speed of a server that was replaced under its ID.
Test(service_times, a_replaced_server_is_forgotten) {
    service_times times;
    for (int i = 0; i < 10; ++i)
        note_call_time(times, "i", milliseconds(400), 0, 6, start);
    note_rejections(times, "i", 3);
    forget(times, "i");
    cr_assert(!service_time_of(&times, "i", 50.0, start).learned);
    cr_assert(take_unreported(times, start).empty());
}

Test(service_times, unknown_servers_have_the_median_of_the_others) {
    service_times times;
    observe(times, "a", 10, 30);
    observe(times, "b", 10, 90);
    observe(times, "c", 10, 70);
    observe(times, "other", 10, 5);
    cr_assert(median_service_ms(&times, {"a", "b", "c", "new"}, start) == 70.0);
    cr_assert(!median_service_ms(&times, {"new"}, start));
}

// Guards against growth where no scheduler takes the observations.
Test(service_times, unreported_calls_are_bounded) {
    service_times times;
    for (int i = 0; i < 5000; ++i)
        note_call_time(times, "i", milliseconds(10), 0, 6, start);
    cr_assert(take_unreported(times, start).at("i").calls == 1000);
    cr_assert(take_unreported(times, start).empty());
}

// Guards against calls that are refused because ended calls still count.
Test(service_times, calls_that_ended_since_the_last_report_do_not_count) {
    service_times times;
    const auto observed = [&](double delay_ms) {
        times = {};
        note_reported_times(
            times, {{"i", {64, 64 * 15.0, 64 * delay_ms}}}, start);
        return service_time_of(&times, "i", 1.0, start);
    };
    // All six slots complete two calls each before their ends are reported.
    cr_assert(estimate_in_flight(42, 6, observed(30.0)) == 30);
    cr_assert(estimate_in_flight(18, 6, observed(30.0)) == 6);
    // Two of three counted calls have ended.
    cr_assert(estimate_in_flight(3, 6, observed(30.0)) == 1);
    cr_assert(estimate_in_flight(42, 6, observed(0.0)) == 42);
    cr_assert(
        estimate_in_flight(42, 6, service_time_of(nullptr, "i", 15.0, start)) ==
        42);
}

// Guards against a delay that is not that of the reports.
Test(service_times, the_delay_of_reports_is_told) {
    service_times times;
    note_call_time(times, "i", milliseconds(10), 0, 6, start);
    note_call_time(
        times, "i", milliseconds(10), 0, 6, start + milliseconds(40));
    const observed_calls seen =
        take_unreported(times, start + milliseconds(50)).at("i");
    cr_assert(seen.calls == 2 && std::abs(seen.delay_ms - 60.0) < 0.01);
}

// Guards against a server that is filled up again at once after it has rejected
// calls, and against one that never gets more again.
Test(plain_flow, the_limit_falls_with_rejections_and_grows_again) {
    plain_flow flow;
    for (int calls = 1; calls <= 14; ++calls)
        note_placed(flow, calls, start);
    cr_assert(!limit_of(flow, start));
    note_rejections(flow, 2, 6, start);
    cr_assert(limit_of(flow, start) == 13);
    note_rejections(flow, 2, 6, start);
    cr_assert(limit_of(flow, start) == 13, "no new rejection");
    for (int news = 3; news < 20; ++news)
        note_rejections(flow, static_cast<std::uint64_t>(news), 6, start);
    cr_assert(limit_of(flow, start) == 6, "not below the slots");
    cr_assert(limit_of(flow, start + milliseconds(3500)) == 9);
    // It has held nothing lately, so its queue is not full.
    note_rejections(flow, 30, 6, start + milliseconds(3500));
    cr_assert(limit_of(flow, start + milliseconds(3500)) == 9);
    cr_assert(!limit_of(flow, start + milliseconds(61000)));
}

// Guards against less urgent calls that get nothing at all, and against more
// than their part.
Test(priority_reserve, less_urgent_calls_leave_the_demand_of_urgent_ones) {
    priority_reserve reserve;
    base::steady_time now = start;
    for (int i = 0; i < 1000; ++i, now += milliseconds(2))
        note_demand(reserve, 0, true, now);
    note_demand(reserve, 2, true, now);
    cr_assert(more_urgent_demand(reserve, 0, now) == 0.0);
    const double demand = more_urgent_demand(reserve, 2, now);
    cr_assert(demand > 0.42 && demand <= 0.5, "%f", demand);
    int guaranteed = 0;
    for (int ms = 0; ms < 2000; ++ms, now += milliseconds(1))
        if (reserved_share(reserve, 2, demand, 1.0, now) == 0.0) {
            note_placed(reserve, 2);
            ++guaranteed;
        }
    // 0.1 call per millisecond, and what was saved up in a quarter of a second.
    cr_assert(guaranteed >= 200 && guaranteed <= 226, "%d", guaranteed);
    note_placed(reserve, 2);
    cr_assert(reserved_share(reserve, 2, demand, 1.0, now) == demand);
    cr_assert(reserved_share(reserve, 2, 5.0, 1.0, now) == 0.9);
    now += milliseconds(4000);
    cr_assert(more_urgent_demand(reserve, 2, now) == 0.0, "demand has ended");
}

// Guards against calls of long ago that are reported as new when a group gets
// schedulers.
Test(service_times, old_observations_are_not_reported) {
    service_times times;
    note_call_time(times, "i", milliseconds(60), 0, 6, start);
    cr_assert(take_unreported(times, start + milliseconds(2001)).empty());
    note_call_time(times, "i", milliseconds(60), 0, 6, start);
    cr_assert(take_unreported(times, start + milliseconds(1999)).size() == 1);
    note_reported_times(times, {{"j", {8, 480.0, 1e9}}}, start);
    cr_assert(service_time_of(&times, "j", 1.0, start).delay_ms <= 2000.0);
}

// Guards against a limit that a replaced server inherits, or gets because its
// rejections are counted from the start.
Test(plain_flow, a_replaced_server_has_no_limit) {
    plain_flow flow;
    note_placed(flow, 14, start);
    note_rejections(flow, 5, 6, start);
    cr_assert(limit_of(flow, start).has_value());
    note_rejections(flow, 0, 6, start);
    cr_assert(!limit_of(flow, start));
}
