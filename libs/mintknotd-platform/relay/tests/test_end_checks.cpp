/// @file
/// Which evidence tells whether an answer without length is whole.

#include "relay_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;
constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;
/// Of a server in trouble, longer than one check is waited for.
constexpr base::milliseconds long_queue{900};

/// Answers the first request without a length, later ones with one. Does not
/// answer health checks.
script answering_no_check(int& requests) {
    return [&requests](
               const received_request& to, const event::connection_ptr& link) {
        if (to.head.method == "GET")
            return;
        if (++requests > 1) {
            link->write(answer_to(to, "later"));
            return;
        }
        link->write(head_without_length(to, "text") + "abc");
        link->close();
    };
}

/// A decode engine whose stream, without a length, ends behind its first event.
struct short_stream {
    short_stream()
        : pause(f.owner) {
        f.add_server("p", "llm", prefill, good_prefill("k"));
        engine = &f.add_server(
            "d", "llm", decode,
            [this](
                const received_request& to, const event::connection_ptr& link) {
                begin(to, link);
            });
    }
    /// Ends the stream once `before_end` has been called.
    void begin(const received_request& to, const event::connection_ptr& link) {
        link->write(head_without_length(to, "events") + event_text(1));
        pause.start(base::milliseconds(50), [this, link] {
            if (before_end)
                before_end();
            if (ends)
                engine->stop();
            link->close();
        });
    }
    caller_view ask() {
        caller_view seen = f.ask(prompt("/stream/x"));
        f.run_until([&] { return f.context.state.open_requests == 0; });
        return seen;
    }
    void let_rest() {
        policy::note_rest(
            f.context.state.health.resting, "d", base::milliseconds(2500),
            f.owner.now());
    }
    void set_row(std::optional<traffic::server> row) {
        traffic::apply(f.context.state.servers, "d", 1000, std::move(row));
    }
    void let_leave() {
        traffic::server row = *traffic::find(f.context.state.servers, "d");
        row.draining = true;
        set_row(row);
    }
    relay_fixture f;
    event::timer pause;
    scripted_server* engine = nullptr;
    bool ends = true; ///< The engine's process ends with the stream.
    std::function<void()> before_end;
};

} // namespace

// A busy server answered no check in time, and its whole answer was dropped.
Test(end_checks, an_answer_to_a_later_request_shows_that_the_server_lives) {
    relay_fixture f;
    int requests = 0;
    scripted_server& server =
        f.add_server("s", "app", plain, answering_no_check(requests));
    const event::connection_ptr other = f.connect_idle();
    bool asked = false;
    const caller_view seen = f.ask(
        request("/unsafe/x", "Id: r1\r\nDeadline: 1500\r\n"),
        [&, pending = 0]() mutable {
            const bool checking = server.requests.size() == 2;
            if (checking && !std::exchange(asked, true))
                other->write(request("/unsafe/x", "Id: r2\r\n"));
            return asked && f.context.state.open_requests == 0 && ++pending > 5;
        });
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "abc");
}

// Each check was dropped after 0.3 s, and its place in the queue with it.
Test(end_checks, a_check_waits_in_the_queue_of_a_busy_server) {
    relay_fixture f;
    event::timer queue(f.owner);
    f.add_server(
        "s", "app", plain,
        [&queue](
            const received_request& to, const event::connection_ptr& link) {
            if (to.head.method != "GET") {
                link->write(head_without_length(to, "text") + "abc");
                link->close();
            } else if (!queue.active()) {
                queue.start(
                    long_queue, [to, link] { link->write(answer_to(to, "")); });
            }
        });
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "abc");
}

// A crash under an engine that had asked for rest passed for the stream's end.
Test(end_checks, the_end_of_a_resting_engine_does_not_complete_its_stream) {
    short_stream s;
    s.before_end = [&] { s.let_rest(); };
    const caller_view seen = s.ask();
    cr_assert(seen.status == 200);
    cr_assert(!seen.complete);
}

Test(end_checks, a_resting_engine_that_lives_gets_no_call) {
    short_stream s;
    s.before_end = [&] { s.let_rest(); };
    s.ends = false;
    const caller_view seen = s.ask();
    cr_assert(seen.complete);
    cr_assert(seen.body == event_text(1));
    cr_assert(s.engine->requests.size() == 1);
}

// The planned end of an engine passed for the end of streams that still ran.
Test(end_checks, the_end_of_a_leaving_engine_does_not_complete_its_stream) {
    short_stream s;
    s.before_end = [&] { s.let_leave(); };
    cr_assert(!s.ask().complete);
}

Test(end_checks, a_leaving_engine_that_lives_completes_its_stream) {
    short_stream s;
    s.before_end = [&] { s.let_leave(); };
    s.ends = false;
    cr_assert(s.ask().complete);
}

// An engine without a row, which is one that leaves too, was not asked.
Test(
    end_checks,
    the_end_of_an_engine_without_a_row_does_not_complete_its_stream) {
    short_stream s;
    s.before_end = [&] { s.set_row(std::nullopt); };
    cr_assert(!s.ask().complete);
}
