#include "engine_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::routing;
using namespace mintknot::routing::tests;
using end = place_answer::state;

namespace {

const place_goal goal;
const auto second = std::chrono::seconds(1);

bool holds_nothing(const scheduler& state) {
    for (const engine_entry& engine : state.table.engines)
        if (engine.reserved != 0 || engine.pending_prefill != 0 ||
            engine.decoding != 0 || engine.exporting != 0)
            return false;
    return state.reservations.empty();
}

} // namespace

Test(scheduler, reserves_until_the_entry_says_finished) {
    auto state = small_scheduler();
    const auto answer = place(state, query_of(1000, 100), goal, start);
    cr_assert(answer.end == end::placed);
    cr_assert_eq(state.table.engines[1].reserved, 1100U);
    cr_assert_eq(state.table.engines[0].pending_prefill, 1000U);
    take_progress(
        state, {answer.attempt, progress_phase::prefilled, 0}, start + second);
    cr_assert_eq(state.table.engines[0].pending_prefill, 0U);
    cr_assert_eq(state.table.engines[0].exporting, 1U);
    take_progress(state, {answer.attempt, progress_phase::decoding}, start);
    cr_assert_eq(state.table.engines[0].exporting, 0U);
    take_progress(state, {answer.attempt, progress_phase::finished}, start);
    cr_assert(holds_nothing(state));
}

Test(scheduler, queues_without_memory_and_places_when_it_is_free) {
    auto state = small_scheduler(2000);
    const auto first = place(state, query_of(1000, 500), goal, start);
    const auto second_answer = place(state, query_of(1000, 500), goal, start);
    cr_assert(second_answer.end == end::queued);
    cr_assert(advance(state, start).empty());
    take_progress(state, {first.attempt, progress_phase::finished}, start);
    const auto later = advance(state, start);
    cr_assert_eq(later.size(), 1U);
    cr_assert(later[0].end == end::placed);
    cr_assert_eq(later[0].ticket, second_answer.ticket);
}

Test(scheduler, nobody_overtakes_an_equal_one_that_waits) {
    auto state = small_scheduler(2000);
    place(state, query_of(1000, 500), goal, start);
    place(state, query_of(1000, 500), goal, start);
    cr_assert(
        place(state, query_of(10, 10), goal, start + second).end ==
        end::queued);
    place_goal urgent;
    urgent.priority = 5;
    cr_assert(place(state, query_of(10, 10), urgent, start).end == end::placed);
}

Test(scheduler, refuses_what_has_waited_too_long) {
    auto state = small_scheduler(2000);
    const auto held = place(state, query_of(1000, 500), goal, start);
    place(state, query_of(1000, 500), goal, start);
    take_progress(
        state, {held.attempt, progress_phase::decoding}, start + 4 * second);
    const auto answers = advance(state, start + 4 * second);
    cr_assert_eq(answers.size(), 1U);
    cr_assert(answers[0].end == end::refused);
    cr_assert(answers[0].refused.run == base::verdict::not_run);
    cr_assert(answers[0].refused.retry_after.count() > 0);
    cr_assert(state.queue.empty());
}

Test(scheduler, refuses_at_once_what_cannot_be_in_time) {
    auto state = small_scheduler();
    state.table.engines[0].load.queued_prefill = 50000;
    const auto answer = place(state, query_of(1000, 100), goal, start);
    cr_assert(answer.end == end::refused);
    cr_assert(answer.refused.code == base::reason::deadline_unreachable);
    cr_assert(holds_nothing(state));
}

Test(scheduler, a_full_queue_refuses) {
    auto state = small_scheduler(100);
    state.options.most_queued = 2;
    for (int i = 0; i < 2; ++i)
        cr_assert(
            place(state, query_of(1000, 100), goal, start).end == end::queued);
    const auto answer = place(state, query_of(1000, 100), goal, start);
    cr_assert(answer.refused.code == base::reason::queue_full);
}

Test(scheduler, a_silent_entry_loses_its_reservations) {
    auto state = small_scheduler();
    place(state, query_of(1000, 100), goal, start);
    advance(state, start + 2 * second);
    cr_assert(!holds_nothing(state));
    advance(state, start + 4 * second);
    cr_assert(holds_nothing(state));
}

Test(scheduler, a_restarted_engine_holds_nothing) {
    auto state = small_scheduler();
    auto query = query_of(1000, 100);
    query.prefix = {{8, 8}};
    place(state, query, goal, start);
    engine_load load = state.table.engines[1].load;
    load.incarnation = 2;
    load.read_at = start + second;
    take_engine_load(state, "d1", load, start + second);
    cr_assert(holds_nothing(state));
    load.read_at = start + second;
    take_engine_load(state, "p1", load, start + second);
    cr_assert_eq(state.prefixes.size(), 0U);
}

Test(scheduler, learns_the_prefill_rate_and_corrects_the_index) {
    auto state = small_scheduler();
    auto query = query_of(4000, 100);
    query.prefix = {{1, 1}, {32, 32}};
    state.prefixes.add(0, query.prefix);
    auto now = start;
    for (int i = 0; i < 30; ++i) {
        query.attempt = std::to_string(i);
        const auto answer = place(state, query, goal, now);
        cr_assert(answer.end == end::placed);
        now += second; // 4000 tokens in a second, and nothing was cached.
        take_progress(
            state, {answer.attempt, progress_phase::prefilled, 0}, now);
        take_progress(state, {answer.attempt, progress_phase::finished}, now);
    }
    const double rate = state.table.engines[0].prefill_rate;
    cr_assert(rate > 3900 && rate < 4200, "%f", rate);
}

Test(scheduler, failures_are_counted_against_the_right_engine) {
    auto state = small_scheduler();
    const auto answer = place(state, query_of(100, 10), goal, start);
    take_progress(
        state, {answer.attempt, progress_phase::decode_failed}, start);
    cr_assert_eq(state.table.engines[0].failures, 0);
    cr_assert_eq(state.table.engines[1].failures, 1);
    cr_assert(holds_nothing(state));
}

Test(scheduler, the_same_attempt_reserves_once) {
    auto state = small_scheduler();
    const auto query = query_of(1000, 100);
    place(state, query, goal, start);
    const auto again = place(state, query, goal, start);
    cr_assert(again.end == end::placed);
    cr_assert_eq(state.table.engines[1].reserved, 1100U);
    take_progress(state, {again.attempt, progress_phase::finished}, start);
    cr_assert(holds_nothing(state));
}
