#include <mintknot/policy/return_schedule.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

capacity_claim caller(
    std::uint64_t digest, int priority = 1,
    milliseconds left = milliseconds{30000}) {
    capacity_claim claim;
    claim.digest = digest;
    claim.priority = priority;
    claim.deadline_left = left;
    return claim;
}

/// A request of 4,000 tokens, held for 3 s, while 40 tokens are released per
/// millisecond.
const return_terms terms{4000.0, 40.0, 1, milliseconds{3000}, milliseconds{0}};

/// First tries ask for 20 tokens per millisecond, half of the release.
return_schedule half_used() {
    return_schedule schedule;
    for (int i = -120; i < 0; ++i)
        note_first_try(
            schedule.first_tries, 2000.0, start + milliseconds(i * 100));
    return schedule;
}

return_decision plan(return_schedule& schedule, std::uint64_t digest) {
    return plan_return(schedule, caller(digest), terms, start);
}

} // namespace

/// Guards against callers that return at the same time: they are paced by what
/// first tries leave of the release.
Test(return_schedule, returns_are_paced_by_what_first_tries_leave) {
    return_schedule schedule = half_used();
    cr_assert(plan(schedule, 1).retry_after == milliseconds(4000));
    // The estimate allows for 0.64 deviations of the number of first tries:
    // 40 - 25.7 tokens per millisecond are left for 4,000 tokens each.
    const milliseconds second = plan(schedule, 2).retry_after;
    cr_assert(second > milliseconds(4270) && second < milliseconds(4290));
    const milliseconds third = plan(schedule, 3).retry_after;
    cr_assert(third - second >= milliseconds(279));
    cr_assert(third - second <= milliseconds(281));
}

/// Guards against callers that are all told the same time if the forecast wait
/// is long.
Test(return_schedule, returns_after_a_long_wait_are_paced) {
    return_schedule schedule = half_used();
    return_terms waiting = terms;
    waiting.earliest = milliseconds(1500); // Safe after 6 s.
    milliseconds last{0};
    for (std::uint64_t digest = 1; digest <= 10; ++digest) {
        const milliseconds told =
            plan_return(schedule, caller(digest), waiting, start).retry_after;
        cr_assert(told >= milliseconds(6000));
        cr_assert(told >= last + milliseconds(100));
        last = told;
    }
}

/// Guards against returns that take the place of first tries that are still in
/// time: a shortage is expected to last as long again as it has lasted.
Test(return_schedule, returns_are_planned_for_after_the_shortage) {
    return_schedule schedule = half_used();
    std::uint64_t digest = 0;
    for (int i = 0; i < 60; ++i) {
        const base::steady_time now = start + milliseconds(i * 100);
        const return_decision seen = plan_return(
            schedule, caller(++digest, 1, milliseconds(90000)), terms, now);
        const auto lasts = std::max(2 * i * 100, 4000);
        cr_assert(
            now + seen.retry_after >= start + milliseconds(lasts), "%d", i);
    }
    // Refused 5.9 s after the first refusal, a caller with 12 s left obeys 4 s.
    const return_decision soon = plan_return(
        schedule, caller(++digest, 1, milliseconds(12000)), terms,
        start + milliseconds(5900));
    cr_assert(soon.kind == return_kind::promised);
    cr_assert(soon.retry_after >= milliseconds(3000));
    cr_assert(soon.retry_after <= milliseconds(4000));
    // A fifth of the release serves one of them in 500 ms.
    int promised = 1;
    while (plan_return(
               schedule, caller(++digest, 1, milliseconds(12000)), terms,
               start + milliseconds(5900))
               .kind == return_kind::promised)
        ++promised;
    cr_assert(promised == 3, "%d", promised);
}

/// Guards against a request of absurd size that moves the times of all others
/// out of reach.
Test(return_schedule, next_times_are_at_most_a_minute_ahead) {
    for (const double cost : {1e12, 1e300, double{HUGE_VAL}, std::nan("")}) {
        return_schedule schedule = half_used();
        return_terms absurd = terms;
        absurd.cost = cost;
        const return_decision seen =
            plan_return(schedule, caller(1), absurd, start);
        cr_assert(std::isfinite(cost) || seen.kind == return_kind::refused);
        for (const base::steady_time next : schedule.next)
            cr_assert(next <= start + milliseconds(60000));
        cr_assert(schedule.next_of_all <= start + milliseconds(60000));
        cr_assert(schedule.next_in_shortage <= start + milliseconds(60000));
    }
}

/// Guards against a burst that starves the callers that it refuses: it has
/// ended when they return.
Test(return_schedule, a_burst_does_not_slow_returns_down) {
    return_schedule schedule = half_used();
    for (int i = 0; i < 35; ++i)
        note_first_try(
            schedule.first_tries, 50000.0, start + milliseconds(i * 100));
    const base::steady_time now = start + milliseconds(3500);
    cr_assert(plan_return(schedule, caller(1), terms, now).pace > 14.0);
}

Test(return_schedule, returns_always_get_a_fifth_of_the_release) {
    return_schedule schedule;
    for (int i = -120; i < 0; ++i)
        note_first_try(
            schedule.first_tries, 9000.0, start + milliseconds(i * 100));
    cr_assert_float_eq(plan(schedule, 1).pace, 8.0, 0.01);
    return_schedule new_process;
    cr_assert_float_eq(plan(new_process, 1).pace, 8.0, 0.01);
}

/// Guards against times that callers cannot obey, or that leave no time to be
/// served.
Test(return_schedule, a_refusal_is_final_if_no_time_is_early_enough) {
    return_schedule schedule = half_used();
    milliseconds last{0};
    return_decision decision;
    std::uint64_t digest = 0;
    do {
        last = decision.retry_after;
        decision = plan(schedule, ++digest);
    } while (decision.kind == return_kind::promised);
    cr_assert(decision.kind == return_kind::refused);
    cr_assert(decision.retry_after == milliseconds(30000));
    cr_assert(last <= milliseconds(10000) && last > milliseconds(9000));
    // Served for 3 s, a caller with 3.2 s left must return within 200 ms.
    return_schedule empty = half_used();
    cr_assert(
        plan_return(empty, caller(1, 1, milliseconds(3200)), terms, start)
            .kind == return_kind::refused);
    // A third of 600 ms is less than the shortest Retry-After.
    return_terms call = terms;
    call.service_time = milliseconds(15);
    const return_decision soon =
        plan_return(empty, caller(2, 1, milliseconds(600)), call, start);
    cr_assert(soon.kind == return_kind::promised);
    cr_assert(soon.retry_after == milliseconds(200));
}

Test(return_schedule, a_more_urgent_caller_returns_before_those_refused_first) {
    return_schedule schedule = half_used();
    for (std::uint64_t digest = 1; digest <= 8; ++digest)
        plan(schedule, digest);
    const return_decision urgent =
        plan_return(schedule, caller(9, 0), terms, start);
    const return_decision next = plan(schedule, 10);
    cr_assert(urgent.retry_after < milliseconds(4900));
    cr_assert(next.retry_after > milliseconds(6000));
}

Test(return_schedule, a_promise_that_stands_is_told_again) {
    return_schedule schedule = half_used();
    plan(schedule, 1);
    const milliseconds first = plan(schedule, 2).retry_after;
    capacity_claim returned = caller(2);
    returned.caller_retry = true;
    const base::steady_time now = start + milliseconds(100);
    const return_decision again = plan_return(schedule, returned, terms, now);
    cr_assert(again.kind == return_kind::promised);
    cr_assert(again.retry_after == first - milliseconds(100));
    cr_assert(schedule.promises.size() == 2);
    // Guards against a time that the caller no longer obeys.
    returned.deadline_left = milliseconds(9000);
    const return_decision sooner = plan_return(schedule, returned, terms, now);
    cr_assert(sooner.retry_after <= milliseconds(3000));
    cr_assert(schedule.promises.size() == 2);
}

/// Guards against different callers with the same request that share one
/// promise and are all told the same time.
Test(return_schedule, callers_with_the_same_request_get_a_promise_each) {
    return_schedule schedule = half_used();
    const milliseconds first = plan(schedule, 1).retry_after;
    const milliseconds second = plan(schedule, 1).retry_after;
    cr_assert(second >= first + milliseconds(200));
    cr_assert(schedule.promises.size() == 2);
    cr_assert(returns_on_time(schedule, 1, start + first));
    end_promise(schedule, 1);
    cr_assert(!returns_on_time(schedule, 1, start + first));
    cr_assert(returns_on_time(schedule, 1, start + second));
    end_promise(schedule, 1);
    cr_assert(schedule.promises.empty() && schedule.by_digest.empty());
    for (std::size_t i = 0; i < max_promises_of_digest; ++i)
        plan_return(schedule, caller(2, 1, milliseconds(300000)), terms, start);
    cr_assert(plan(schedule, 2).kind == return_kind::unknown);
}

/// Guards against capacity that is taken from first tries while they are
/// denied.
Test(return_schedule, a_fifth_is_kept_while_first_tries_are_denied) {
    return_schedule schedule = half_used();
    for (std::uint64_t digest = 1; digest <= 3; ++digest)
        plan(schedule, digest);
    const base::steady_time now = start + milliseconds(4250);
    cr_assert(most_kept(schedule, 25000.0, now) == HUGE_VAL);
    cr_assert(kept_costs(schedule, 0, now).size() == 2);
    note_first_try_denied(schedule, now - milliseconds(500));
    const double most = most_kept(schedule, 25000.0, now);
    cr_assert_float_eq(most, 5000.0, 0.01);
    cr_assert(kept_costs(schedule, 0, now, most).size() == 1);
    cr_assert(kept_without_scheduler(schedule, now, most).size() == 1);
    cr_assert(
        most_kept(schedule, 25000.0, now + milliseconds(1000)) == HUGE_VAL);
}

Test(return_schedule, capacity_is_kept_from_50_ms_before_to_300_ms_after) {
    return_schedule schedule = half_used();
    const base::steady_time due = start + plan(schedule, 1).retry_after;
    cr_assert(kept_costs(schedule, 2, due - milliseconds(51)).empty());
    cr_assert(!returns_on_time(schedule, 1, due - milliseconds(51)));
    cr_assert(
        kept_costs(schedule, 2, due - milliseconds(50)) ==
        std::vector<double>{4000.0});
    cr_assert(kept_costs(schedule, 1, due).empty(), "its own");
    cr_assert(returns_on_time(schedule, 1, due + milliseconds(300)));
    cr_assert(kept_costs(schedule, 2, due + milliseconds(301)).empty());
    cr_assert(!returns_on_time(schedule, 1, due + milliseconds(301)));
    cr_assert(schedule.lapsed == 1 && schedule.promises.empty());
}

Test(return_schedule, a_served_caller_has_no_promise_left) {
    return_schedule schedule = half_used();
    const base::steady_time due = start + plan(schedule, 1).retry_after;
    cr_assert(returns_on_time(schedule, 1, due));
    end_promise(schedule, 1);
    cr_assert(schedule.served == 1 && schedule.promises.empty());
    cr_assert(kept_costs(schedule, 2, due).empty());
    cr_assert(!returns_on_time(schedule, 1, due), "served once");
}

/// Guards against a scheduler that was suspended and keeps capacity for callers
/// that came while it did not answer.
Test(return_schedule, promises_that_passed_during_a_suspension_are_dropped) {
    return_schedule schedule = half_used();
    for (std::uint64_t digest = 1; digest <= 15; ++digest)
        plan(schedule, digest);
    const base::steady_time resumed = start + milliseconds(6000);
    cr_assert(kept_costs(schedule, 0, resumed).size() <= 3);
    cr_assert(schedule.promises.size() <= 8);
    cr_assert(
        plan_return(schedule, caller(99), terms, resumed).kind ==
        return_kind::promised);
}

Test(return_schedule, the_number_of_promises_is_bounded) {
    return_schedule schedule = half_used();
    return_terms calls = terms;
    calls.cost = 1.0;
    for (std::uint64_t digest = 1; digest <= max_return_promises; ++digest)
        cr_assert(
            plan_return(schedule, caller(digest), calls, start).kind ==
            return_kind::promised);
    cr_assert(
        plan_return(schedule, caller(9999), calls, start).kind ==
        return_kind::refused);
    cr_assert(schedule.promises.size() == max_return_promises);
}

Test(return_schedule, nothing_is_promised_if_nothing_is_known) {
    return_schedule schedule;
    return_terms unknown = terms;
    unknown.release_rate = 0.0;
    const auto kind = [&](const capacity_claim& claim, const return_terms& on) {
        return plan_return(schedule, claim, on, start).kind;
    };
    cr_assert(kind(caller(1), unknown) == return_kind::unknown);
    cr_assert(kind(caller(0), terms) == return_kind::unknown);
    cr_assert(
        kind(caller(1, 1, milliseconds(0)), terms) == return_kind::unknown);
}

/// Guards against the bounds seen before: 0.003 s and 129 s.
Test(return_schedule, retry_after_is_bounded_by_what_callers_obey) {
    cr_assert(
        bounded_retry_after(milliseconds(3), milliseconds(9000)) ==
        milliseconds(250));
    cr_assert(
        bounded_retry_after(milliseconds(129000), milliseconds(9000)) ==
        milliseconds(3000));
    cr_assert(
        bounded_retry_after(milliseconds(3), milliseconds(600)) ==
        milliseconds(200));
}

/// Guards against memory that is free in pieces too small for a return, and
/// against an engine that is never free enough for a large one.
Test(return_schedule, a_return_is_kept_one_engine) {
    const std::vector<engine_room> engines = {
        {"a", 8100.0}, {"b", 3900.0}, {"c", 4100.0}};
    const auto kept_from = [&](double cost, const std::vector<double>& kept) {
        return engines_kept(engines, cost, kept);
    };
    cr_assert(kept_from(4000.0, {}) == std::set<std::string>{"b"});
    cr_assert(kept_from(4000.0, {4000.0}) == std::set<std::string>{"b"});
    cr_assert(
        (kept_from(4000.0, {4000.0, 4000.0}) ==
         std::set<std::string>{"b", "c"}));
    cr_assert(
        (kept_from(4000.0, {20000.0}) == std::set<std::string>{"a", "b"}));
}

/// A return that fits on no engine now is kept capacity until its time.
Test(return_schedule, capacity_for_a_large_return_is_kept_earlier) {
    return_schedule schedule = half_used();
    return_terms large = terms;
    large.earliest = milliseconds(150);
    const base::steady_time due =
        start + plan_return(schedule, caller(1), large, start).retry_after;
    cr_assert(kept_costs(schedule, 2, due - milliseconds(601)).empty());
    cr_assert(kept_costs(schedule, 2, due - milliseconds(600)).size() == 1);
    cr_assert(!returns_on_time(schedule, 1, due - milliseconds(600)));
}
