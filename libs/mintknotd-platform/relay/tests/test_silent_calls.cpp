#include "pausing_fixture.hpp"
#include "scripted_guard.hpp"

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;

/// Two engines may work on a stream for so long after it has changed engines.
constexpr base::milliseconds max_overlap{400};
/// Beyond the time of any test.
constexpr base::milliseconds forever{60000};
/// While the request is at two engines: the first one has been silent for a
/// second, and its call ends 200 ms after the request was sent to the other.
constexpr base::milliseconds in_overlap{1100};

/// Streams like good_decode() after a delay.
script decoding_late(event::timer& later, base::milliseconds delay) {
    return [&later, delay](
               const received_request& to, const event::connection_ptr& link) {
        later.start(delay, [to, link] { good_decode()(to, link); });
    };
}

} // namespace

// Guards against two engines that work on one stream.
Test(silent_calls, end_soon_after_the_request_was_sent_to_another_engine) {
    pausing_fixture f(true, forever);
    event::timer second(f.owner);
    std::optional<base::steady_time> sent;
    const script late = decoding_late(second, max_overlap * 2);
    f.add_other(
        [&](const received_request& to, const event::connection_ptr& link) {
            sent = f.owner.now();
            late(to, link);
        });
    const caller_view early =
        f.ask(resumable_prompt(), [&] { return f.d1.closed_connections == 1; });
    cr_assert(!early.complete);
    cr_assert(sent.has_value());
    cr_assert(f.owner.now() - *sent < max_overlap);
}

Test(silent_calls, a_dark_engine_is_left_for_another_one) {
    pausing_fixture f(true, forever);
    scripted_server& other = f.add_other(good_decode());
    f.assert_whole_answer(f.ask(resumable_prompt()));
    cr_assert(other.requests.size() == 1);
    cr_assert(other.requests[0].field("After") == "1");
    f.run_until([&] { return f.d1.closed_connections == 1; });
}

// Guards against a stream that leaves an engine which has gone on meanwhile.
Test(silent_calls, an_event_of_the_silent_engine_ends_the_search) {
    pausing_fixture f(true, in_overlap);
    event::timer reading(f.owner);
    scripted_server& other = f.add_other(good_decode());
    int prefills = 0;
    f.add_server(
        "p", "llm", prefill,
        [&](const received_request& to, const event::connection_ptr& link) {
            const bool first = ++prefills == 1;
            reading.start(base::milliseconds(first ? 0 : 200), [to, link] {
                good_prefill("k1")(to, link);
            });
        });
    f.assert_whole_answer(f.ask(resumable_prompt()));
    cr_assert(prefills == 2);
    cr_assert(other.requests.empty());
    f.assert_no_memory_reserved();
}

Test(silent_calls, end_with_the_caller) {
    pausing_fixture f(true, forever);
    scripted_server& other = f.add_other(silent());
    bool leaves = false;
    f.change.start(in_overlap, [&] { leaves = true; });
    f.ask(resumable_prompt(), [&] { return leaves; });
    f.run_until([&] {
        return f.d1.closed_connections == 1 && other.closed_connections == 1;
    });
    f.assert_no_memory_reserved();
}

// Guards against a stream that stands until its deadline at the only engine.
Test(silent_calls, the_only_engine_is_asked_again_after_a_long_silence) {
    relay_fixture f;
    int requests = 0;
    scripted_server& only = f.add_server(
        "d1", "llm", decode,
        [&](const received_request& to, const event::connection_ptr& link) {
            if (++requests == 1)
                link->write(stream_head(to) + http1::chunk(event_text(1)));
            else
                good_decode()(to, link);
        });
    const caller_view seen = f.ask(resumable_prompt());
    cr_assert(seen.complete);
    cr_assert(seen.body == all_events());
    cr_assert(requests == 2);
    f.run_until([&] { return only.closed_connections == 1; });
}

// Guards against a late rejection that takes the place of an answer.
Test(silent_calls, a_late_rejection_does_not_end_the_search) {
    relay_fixture f;
    event::timer rejection(f.owner);
    event::timer second(f.owner);
    f.add_server(
        "d1", "llm", decode,
        [&](const received_request& to, const event::connection_ptr& link) {
            rejection.start(
                in_overlap, [to, link] { link->write(rejection_of(to)); });
        });
    scripted_server& other = f.add_server(
        "d2", "llm", decode, decoding_late(second, base::milliseconds(150)));
    traffic::add(f.context.state.loads, "d2", {1, 0.0, 2000.0});
    const caller_view seen = f.ask(resumable_prompt());
    cr_assert(seen.complete);
    cr_assert(seen.body == all_events());
    cr_assert(other.requests.size() == 1);
}

// Guards against a stream that stands at a dark engine until its deadline
// because the first search has failed.
Test(silent_calls, a_search_that_failed_is_made_again) {
    pausing_fixture f(true, forever);
    scripted_guard guard;
    f.context.crashes = &guard;
    f.add_other(good_decode());
    // The block is there only while the first search is made.
    event::timer begin(f.owner);
    begin.start(base::milliseconds(500), [&] { guard.blocks_all = true; });
    f.change.start(base::milliseconds(1300), [&] { guard.blocks_all = false; });
    f.assert_whole_answer(f.ask(resumable_prompt()));
}
