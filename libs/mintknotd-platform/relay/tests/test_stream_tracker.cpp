#include "relay_fixture.hpp"
#include "scripted_placer.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto decode = traffic::engine_phase::decode;
const std::string call = request("/stream/x", "Id: r1\r\nTokens: 1000\r\n");

/// Sends two events and no end.
script unfinished() {
    return [](const received_request& to, const event::connection_ptr& link) {
        link->write(
            stream_head(to) + http1::chunk(event_text(1) + event_text(2)));
    };
}

void use_large_events(relay_fixture& f) {
    f.config.services["llm"].engine->memory_tokens = 50000;
    f.config.services["llm"].engine->tokens_per_event = 69.0;
    f.configure();
    f.context.state.capacity_sharing = true;
}

} // namespace

// Guards against a load that says what was reserved while the stream grows: it
// must follow the events, and be gone with the stream.
Test(stream_tracker, the_load_of_a_stream_follows_its_events) {
    relay_fixture f;
    use_large_events(f);
    f.add_server("d", "llm", decode, unfinished());
    const event::connection_ptr caller = f.connect_idle();
    caller->write(call);
    stream_tracker& tracker = f.context.state.streams;
    f.run_until([&] {
        return !tracker.streams.empty() &&
               tracker.streams.front().memory.events == 2.0;
    });
    const auto held = [&] {
        refresh_streams(f.context);
        return traffic::own(f.context.state.loads, "d").profile.mean[0];
    };
    f.run_until([&] { return held() >= 1000.0 + 2 * 69.0; });
    caller->abort();
    f.run_until([&] { return f.context.state.open_requests == 0; });
    cr_assert(tracker.streams.empty());
    cr_assert(f.context.state.loads.own.empty());
}

// Guards against output that is not learned, so that estimates stay wrong.
Test(stream_tracker, the_output_of_a_complete_stream_is_learned) {
    relay_fixture f;
    use_large_events(f);
    f.add_server("d", "llm", decode, good_decode());
    cr_assert(f.ask(call).complete);
    const policy::output_lengths& learned =
        f.context.state.output_lengths["llm"];
    cr_assert(learned.routes.contains({"stream", false}));
    cr_assert(learned.without_estimate.total == 1.0);
    cr_assert(
        f.metrics.text().find("mintknot_output_over_estimate_count 1") !=
        std::string::npos);
}

// Guards against changed loads and messages while the switch is off or events
// are small.
Test(stream_tracker, nothing_is_followed_without_large_events) {
    for (const bool sharing : {true, false}) {
        relay_fixture f;
        use_large_events(f);
        f.context.state.capacity_sharing = sharing;
        if (sharing) {
            f.config.services["llm"].engine->tokens_per_event = 31.0;
            f.configure();
        }
        bool asked = false;
        scripted_placer placer([&](const policy::placement_query& query) {
            asked = true;
            cr_assert(!query.profile);
            policy::placement placed;
            placed.server = "d";
            return placed;
        });
        f.context.placement = &placer;
        f.add_server("d", "llm", decode, good_decode());
        cr_assert(f.ask(call).complete);
        cr_assert(asked);
        cr_assert(f.context.state.streams.streams.empty());
        cr_assert(f.context.state.output_lengths.empty());
    }
}

// Guards against work for every event of every stream: profiles are computed
// anew at a bounded rate.
Test(stream_tracker, profiles_are_refreshed_at_a_bounded_rate) {
    relay_fixture f;
    tracked_stream stream{"d", {}, 1000.0};
    stream.memory.prompt = 1000.0;
    stream.memory.counted_at = f.owner.now();
    stream.memory.tail.fill(1.0);
    stream.memory.expected = 1000.0;
    const auto entry = track_stream(f.context, stream);
    const base::steady_time first = f.context.state.streams.refreshed_at;
    for (int i = 0; i < 100; ++i) {
        entry->memory.events += 1.0;
        refresh_streams(f.context);
    }
    cr_assert(f.context.state.streams.refreshed_at == first);
    f.run_until([&] {
        refresh_streams(f.context);
        return f.context.state.streams.refreshed_at != first;
    });
    cr_assert(
        f.context.state.streams.refreshed_at - first >= min_refresh_interval);
    cr_assert(
        traffic::own(f.context.state.loads, "d").profile.mean[0] >= 1100.0);
    untrack_stream(f.context, entry);
    cr_assert(f.context.state.loads.own.empty());
}
