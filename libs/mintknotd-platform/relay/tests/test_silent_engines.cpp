#include "pausing_fixture.hpp"
#include "scripted_guard.hpp"

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

// Each of these guards against an answer that is lost because its engine, which
// pauses and goes on, was left before another one had taken the stream.

Test(silent_engines, no_answer_is_lost_for_want_of_an_engine_of_its_version) {
    pausing_fixture f;
    f.add_other(good_decode(), 2000.0, "v2");
    f.let_pausing_engine_leave();
    f.assert_whole_answer(f.ask(resumable_prompt()));
}

Test(silent_engines, no_answer_is_lost_if_the_other_engine_rejects) {
    pausing_fixture f;
    f.add_other(rejecting());
    f.let_pausing_engine_leave();
    f.assert_whole_answer(f.ask(resumable_prompt()));
}

Test(silent_engines, no_answer_is_lost_if_the_other_engine_is_full) {
    pausing_fixture f;
    f.add_other(good_decode(), 9000.0);
    f.let_pausing_engine_leave();
    f.assert_whole_answer(f.ask(resumable_prompt(5000)));
}

Test(silent_engines, no_answer_is_lost_if_the_allowance_ends_meanwhile) {
    pausing_fixture f;
    f.context.state.retry_bounds.ratio = 0.0;
    f.context.state.retry_bounds.extra = 1.0;
    f.add_other(rejecting());
    f.assert_whole_answer(f.ask(resumable_prompt()));
}

Test(silent_engines, no_answer_is_lost_if_the_other_engine_breaks_off) {
    pausing_fixture f;
    f.add_other([](const received_request&, const event::connection_ptr& link) {
        link->reset();
    });
    f.assert_whole_answer(f.ask(resumable_prompt()));
}

Test(silent_engines, no_answer_is_lost_if_the_other_engine_fails) {
    pausing_fixture f;
    f.add_other(
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(answer_to(to, "oops", 500));
        });
    f.assert_whole_answer(f.ask(resumable_prompt()));
}

Test(silent_engines, no_answer_is_lost_if_no_other_engine_is_reachable) {
    pausing_fixture f;
    f.add_dead_server("d2", "llm");
    traffic::add(f.context.state.loads, "d2", {1, 0.0, 2000.0});
    f.let_pausing_engine_leave();
    f.assert_whole_answer(f.ask(resumable_prompt()));
}

Test(silent_engines, no_answer_is_lost_if_the_request_is_blocked_meanwhile) {
    pausing_fixture f;
    scripted_guard guard;
    f.context.crashes = &guard;
    scripted_server& other = f.add_other(good_decode());
    f.change.start(pause_of_engine / 3, [&] { guard.blocks_all = true; });
    f.assert_whole_answer(f.ask(resumable_prompt()));
    cr_assert(other.requests.empty(), "a blocked request was sent");
}

Test(silent_engines, no_answer_is_lost_before_its_first_event) {
    pausing_fixture f(false);
    f.add_other(good_decode(), 9000.0);
    f.let_pausing_engine_leave();
    f.assert_whole_answer(f.ask(resumable_prompt(5000)));
}
