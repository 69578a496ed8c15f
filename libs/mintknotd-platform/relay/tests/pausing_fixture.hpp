/// @file
/// Fixture for streams whose engine pauses, and goes on or does not.
#ifndef MINTKNOT_RELAY_TESTS_PAUSING_FIXTURE_HPP
#define MINTKNOT_RELAY_TESTS_PAUSING_FIXTURE_HPP

#include "relay_fixture.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

namespace mintknot::relay::tests {

/// For how long a sound engine writes nothing.
inline constexpr base::milliseconds pause_of_engine{1500};

inline std::string resumable_prompt(int tokens = 100) {
    return prompt("/resume/x", tokens);
}

/// A router with the engine `d1`, which writes one event, pauses and writes the
/// rest. Other engines have more load, so that a stream begins at `d1`.
struct pausing_fixture : relay_fixture {
    explicit pausing_fixture(
        bool head_first = true,
        base::milliseconds time_of_pause = pause_of_engine)
        : pause_time(time_of_pause)
        , later(owner)
        , change(owner)
        , d1(add_server(
              "d1", "llm", traffic::engine_phase::decode,
              [this, head_first](
                  const received_request& to,
                  const event::connection_ptr& link) {
                  write_with_pause(to, link, head_first);
              })) {}

    scripted_server& add_other(
        script behaviour, double load = 2000.0,
        const std::string& version = "v1") {
        scripted_server& other = add_server(
            "d2", "llm", traffic::engine_phase::decode, std::move(behaviour),
            version);
        other_load = {1, 0.0, load};
        traffic::add(context.state.loads, "d2", other_load);
        return other;
    }

    /// `d1` leaves in the middle of its pause.
    void let_pausing_engine_leave() {
        change.start(pause_time / 3, [this] {
            traffic::server row = *traffic::find(context.state.servers, "d1");
            row.draining = true;
            traffic::apply(context.state.servers, "d1", 1000, row);
        });
    }

    void assert_whole_answer(const caller_view& seen) {
        cr_assert(seen.complete, "cut: %s", seen.text.c_str());
        cr_assert(seen.status == 200, "%s", seen.text.c_str());
        cr_assert(seen.body == all_events(), "%s", seen.body.c_str());
        run_until([this] { return context.state.open_requests == 0; });
    }

    void assert_no_memory_reserved() {
        traffic::remove(context.state.loads, "d2", other_load);
        cr_assert(context.state.loads.own.empty(), "memory stays reserved");
    }

    base::milliseconds pause_time;
    traffic::server_load other_load; ///< Of the other engine, by the test.
    event::timer later;
    event::timer change;
    scripted_server& d1;

private:
    void write_with_pause(
        const received_request& to, const event::connection_ptr& link,
        bool head_first) {
        const std::string head = stream_head(to) + http1::chunk(event_text(1));
        const std::string rest = http1::chunk(event_text(2) + event_text(3)) +
                                 std::string(http1::last_chunk);
        if (head_first)
            link->write(head);
        later.start(pause_time, [link, head, rest, head_first] {
            link->write(head_first ? rest : head + rest);
        });
    }
};

} // namespace mintknot::relay::tests

#endif
