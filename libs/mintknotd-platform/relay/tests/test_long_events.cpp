#include "relay_fixture.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/// Streams one event, and then an event of that size.
script long_event(std::size_t bytes) {
    return
        [bytes](const received_request& to, const event::connection_ptr& link) {
            link->write(stream_head(to) + http1::chunk(event_text(1)));
            link->write(http1::chunk(std::string(bytes, 'x') + "\n\n"));
            link->write(std::string(http1::last_chunk));
        };
}

/// As long_event(), but no long event comes before all streams have begun.
script long_events_together(std::size_t streams, std::size_t bytes) {
    using links = std::vector<event::connection_ptr>;
    return [streams, bytes, begun = std::make_shared<links>()](
               const received_request& to, const event::connection_ptr& link) {
        link->write(stream_head(to) + http1::chunk(event_text(1)));
        begun->push_back(link);
        if (begun->size() < streams)
            return;
        for (const event::connection_ptr& each : *begun)
            each->write(http1::chunk(std::string(bytes, 'x') + "\n\n"));
    };
}

caller_view ask_for(std::size_t bytes) {
    relay_fixture f;
    f.add_server("p", "llm", traffic::engine_phase::prefill, good_prefill("k"));
    f.add_server("d", "llm", traffic::engine_phase::decode, long_event(bytes));
    return f.ask(prompt("/stream/x"));
}

} // namespace

Test(long_events, a_long_event_is_passed_on_whole) {
    const caller_view seen = ask_for(megabyte);
    cr_assert(seen.complete);
    cr_assert(seen.body.size() == event_text(1).size() + megabyte + 2);
}

// An engine that never ended an event filled the memory of its instance.
Test(long_events, an_event_without_end_breaks_the_stream) {
    const caller_view seen = ask_for(16 * megabyte);
    cr_assert(!seen.complete);
    cr_assert(seen.body.size() < megabyte);
}

// What many streams held of endless events was bounded for each alone.
Test(long_events, endless_events_of_many_streams_are_bounded_together) {
    constexpr int streams = 12;
    relay_fixture f;
    f.context.options.max_held_bytes = megabyte;
    f.add_server("p", "llm", traffic::engine_phase::prefill, good_prefill("k"));
    scripted_server& engine = f.add_server(
        "d", "llm", traffic::engine_phase::decode,
        long_events_together(streams, 2 * megabyte));
    std::vector<event::connection_ptr> callers;
    for (int i = 0; i < streams; ++i)
        callers.push_back(f.connect_idle());
    for (const event::connection_ptr& caller : callers)
        caller->write(prompt("/stream/x", 10));
    std::size_t most = 0;
    f.run_until([&] {
        most = std::max(most, f.context.state.held_answers.bytes);
        return engine.requests.size() == streams &&
               f.context.state.open_requests == 0;
    });
    cr_assert(most > 0);
    cr_assert(most < 2 * megabyte);
    cr_assert(f.context.state.held_answers.bytes == 0);
    cr_assert(f.context.state.held_answers.answers == 0);
}
