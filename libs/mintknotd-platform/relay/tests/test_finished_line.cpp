/// @file
/// The fields of the `finished` log line that the loss report needs.

#include "logged_fixture.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

using nlohmann::json;

constexpr auto decode = traffic::engine_phase::decode;

/// @return the line of the last request that has ended.
json last_finished(logged_fixture& f) {
    f.router.run_until(
        [&] { return f.router.context.state.open_requests == 0; });
    const std::vector<json> lines = f.lines_of("finished");
    cr_assert(!lines.empty());
    return lines.back();
}

/// Sends a request with the given deadline on the route `stream`.
json ask(logged_fixture& f, const std::string& deadline) {
    f.router.ask(request(
        "/stream/x",
        "Id: r1\r\nTokens: 100\r\nDeadline: " + deadline + "\r\n"));
    return last_finished(f);
}

/// Sends one event, and two others after the given pause.
script pausing(event::timer& pause, base::milliseconds length) {
    return [&pause, length](
               const received_request& to, const event::connection_ptr& link) {
        link->write(stream_head(to) + http1::chunk(event_text(1)));
        pause.start(length, [link] {
            link->write(
                http1::chunk(event_text(2) + event_text(3)) + "0\r\n\r\n");
        });
    };
}

} // namespace

// Guards against a hash of the body for each request: it is needed only where a
// try has to be linked to another one.
Test(finished_line, only_refusals_and_returns_have_a_digest) {
    logged_fixture f;
    const json refused = ask(f, "4000");
    cr_assert(refused["outcome"] == "no_capacity");
    cr_assert(refused["verdict"] == "not_run");
    cr_assert(refused["deadline_ms"] == 4000);
    cr_assert(refused["digest"].get<std::string>().size() == 32);

    f.router.add_server("d", "llm", decode, good_decode());
    const json first = ask(f, "4000");
    cr_assert(first["outcome"] == "answered");
    cr_assert(first["verdict"] == "ran");
    cr_assert(first["returned"] == false);
    cr_assert(first["digest"].get<std::string>().empty());

    const json returned = ask(f, "2000");
    cr_assert(returned["returned"] == true);
    cr_assert(returned["digest"] == refused["digest"]);
    cr_assert(returned["deadline_ms"] == 2000);
}

Test(finished_line, priority_and_gap_targets_are_those_of_the_route) {
    logged_fixture f;
    for (traffic::route& route : f.router.config.routes) {
        route.priority = 3;
        route.target_gap = base::milliseconds(300);
    }
    f.router.configure();
    const json line = ask(f, "4000");
    cr_assert(line["priority"] == 3);
    cr_assert(line["organisation"].get<std::string>().empty());
    cr_assert(line["target_gap_ms"] == 300);
    cr_assert(line["longest_gap_ms"] == 0);
}

// Guards against streams with pauses that are counted as within target.
Test(finished_line, the_longest_gap_between_events_is_measured) {
    constexpr base::milliseconds pause_length{120};
    logged_fixture f;
    event::timer pause(f.router.owner);
    f.router.add_server("d", "llm", decode, pausing(pause, pause_length));
    const json line = ask(f, "4000");
    cr_assert(line["outcome"] == "answered");
    cr_assert(line["longest_gap_ms"] >= pause_length.count() - 1);
    cr_assert(line["longest_gap_ms"] <= line["total_ms"]);
    cr_assert(
        f.router.metrics.text().find(
            "mintknot_longest_gap_seconds_count{route=\"stream\"} 1") !=
        std::string::npos);
}

// Guards against shares by organisation that are counted under its route.
Test(finished_line, the_organisation_and_its_priority_are_named) {
    logged_fixture f;
    traffic::organisation_row row;
    row.value.name = "o";
    row.value.priority = 1;
    row.keys = {"k"};
    f.router.config.organisations =
        std::make_shared<const traffic::organisation_table>(
            std::vector<traffic::organisation_row>{row});
    f.router.configure();
    f.router.ask(request("/safe/x", "Id: r1\r\nKey: k\r\n"));
    const json line = last_finished(f);
    cr_assert(line["organisation"] == "o");
    cr_assert(line["priority"] == 1);
}

Test(finished_line, a_caller_without_a_deadline_has_none_in_the_line) {
    logged_fixture f;
    f.router.ask(request("/safe/x"));
    cr_assert(last_finished(f)["deadline_ms"] == 0);
}
