#include "relay_fixture.hpp"
#include "scripted_guard.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

#include <list>
#include <vector>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;

const std::string with_parts =
    request("/stream/x", "Id: r1\r\nTokens: 9\r\nParts: first,bad,own\r\n");

struct guarded_router : relay_fixture {
    guarded_router() { context.crashes = &guard; }

    /// An engine that writes events at this interval, and closes the connection
    /// after so many.
    script writes(int events, base::milliseconds interval) {
        return
            [this, events, interval](
                const received_request& to, const event::connection_ptr& link) {
                link->write(stream_head(to));
                write_next(link, 1, events, interval);
            };
    }

    void write_next(
        const event::connection_ptr& link, int number, int last,
        base::milliseconds interval) {
        link->write(http1::chunk(event_text(number)));
        timers.emplace_back(owner).start(interval, [=, this] {
            if (number == last)
                link->close();
            else
                write_next(link, number + 1, last, interval);
        });
    }

    scripted_guard guard;
    std::list<event::timer> timers;
};

} // namespace

Test(crash_reports, parts_are_told_by_service_without_the_last) {
    cr_assert(shared_parts("llm", {}).empty());
    cr_assert(shared_parts("llm", {"own"}).empty());
    cr_assert(
        shared_parts("llm", {"a", "b", "own"}) ==
        policy::prompt_parts({"llm/a", "llm/b"}));
    cr_assert(
        shared_parts("llm", {std::string(100000, 'x'), "own"}).begin()->size() <
        64);
    cr_assert(
        shared_parts("llm", std::vector<std::string>(1000, "a")).size() == 1);
}

Test(crash_reports, a_call_that_breaks_when_its_answer_begins_is_told_so) {
    guarded_router f;
    f.add_server("d", "llm", decode, f.writes(2, base::milliseconds(5)));
    cr_assert(!f.ask(with_parts).complete);
    cr_assert(f.guard.broken.size() == 1);
    cr_assert(f.guard.broken[0].answer_just_begun);
    cr_assert(f.guard.sound.empty());
}

Test(crash_reports, an_engine_that_goes_on_writing_shows_that_parts_are_sound) {
    guarded_router f;
    f.add_server("d", "llm", decode, f.writes(25, base::milliseconds(50)));
    cr_assert(!f.ask(with_parts).complete);
    cr_assert(f.guard.sound.size() == 1);
    cr_assert(f.guard.sound[0].contains("llm/first"));
    cr_assert(f.guard.broken.size() == 1);
    cr_assert(!f.guard.broken[0].answer_just_begun);
}

Test(crash_reports, events_that_waited_do_not_show_that_parts_are_sound) {
    guarded_router f;
    f.add_server("d", "llm", decode, f.writes(2, base::milliseconds(1200)));
    cr_assert(!f.ask(with_parts).complete);
    cr_assert(f.guard.sound.empty());
    cr_assert(f.guard.broken[0].answer_just_begun);
}

Test(crash_reports, a_broken_prefill_does_not_hold_parts_suspect) {
    guarded_router f;
    f.add_server(
        "p", "llm", prefill,
        [](const received_request&, const event::connection_ptr& link) {
            link->reset();
        });
    f.add_server("d", "llm", decode, good_decode());
    f.ask(with_parts);
    cr_assert(!f.guard.broken.empty());
    for (const broken_call& call : f.guard.broken)
        cr_assert(!call.answer_just_begun);
}

Test(crash_reports, a_request_with_a_blocked_part_reaches_no_server) {
    guarded_router f;
    scripted_server& engine = f.add_server("d", "llm", decode, good_decode());
    f.guard.blocked = "llm/bad";
    const caller_view seen = f.ask(with_parts);
    cr_assert(seen.status == 503);
    cr_assert(seen.field("Retry-After") == "5000");
    cr_assert(engine.requests.empty());
    cr_assert(
        f.ask(request(
                  "/stream/x", "Id: r2\r\nTokens: 9\r\nParts: first,own\r\n"))
            .status == 200);
}
