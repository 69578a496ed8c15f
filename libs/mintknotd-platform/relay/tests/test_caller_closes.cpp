/// @file
/// Callers' connections that close with a request under way: each leaves one
/// line with its reason.

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

constexpr auto plain = traffic::engine_phase::none;
using std::chrono::seconds;

script answer_at_once() {
    return [](const received_request& to, const event::connection_ptr& link) {
        link->write(answer_to(to, "ok"));
    };
}

/// A caller that keeps its connection whatever the answers say.
struct stubborn_caller {
    explicit stubborn_caller(relay_fixture& router)
        : link(router.connect_idle()) {
        link->set_handlers(
            {[this](std::string_view bytes) { seen += bytes; },
             [this](event::connection_end) { ended = true; }, nullptr});
    }
    event::connection_ptr link;
    std::string seen;
    bool ended = false;
};

/// @return the only line on a connection that has closed.
json closed_line(logged_fixture& f) {
    f.router.run_until([&] { return f.router.entry->connections() == 0; });
    const std::vector<json> lines = f.lines_of("caller_closed");
    cr_assert(lines.size() == 1, "%zu lines", lines.size());
    return lines.front();
}

bool is_counted(const logged_fixture& f, const std::string& reason) {
    return f.router.metrics.text().find(
               "mintknot_caller_closes_total{reason=\"" + reason + "\"} 1") !=
           std::string::npos;
}

} // namespace

Test(caller_closes, a_caller_that_leaves_its_request_is_told) {
    logged_fixture f;
    scripted_server& server = f.router.add_server("i", "app", plain, silent());
    stubborn_caller caller(f.router);
    caller.link->write(request("/unsafe/x"));
    f.router.run_until([&] { return server.requests.size() == 1; });
    caller.link->close();
    const json line = closed_line(f);
    cr_assert(line["request"] == "r1");
    cr_assert(line["reason"] == "caller_left");
    cr_assert(line["answering"] == true);
    cr_assert(line["answered"] == 0);
    cr_assert(is_counted(f, "caller_left"));
}

Test(caller_closes, a_reset_is_told_apart_and_a_kept_connection_is_known) {
    logged_fixture f;
    scripted_server& server =
        f.router.add_server("i", "app", plain, answer_at_once());
    stubborn_caller caller(f.router);
    caller.link->write(request("/unsafe/x", "Id: r1\r\n"));
    f.router.run_until([&] { return caller.seen.ends_with("ok"); });
    server.behaviour = silent();
    caller.link->write(request("/unsafe/x", "Id: r2\r\n"));
    f.router.run_until([&] { return server.requests.size() == 2; });
    caller.link->reset();
    const json line = closed_line(f);
    cr_assert(line["request"] == "r2");
    cr_assert(line["reason"] == "connection_broken");
    cr_assert(line["answered"] == 1);
}

Test(caller_closes, a_request_that_has_come_in_part_is_told) {
    logged_fixture f;
    stubborn_caller caller(f.router);
    caller.link->write("POST /unsafe/x HTTP/1.1\r\nHost: h\r\n");
    f.router.run_until([&] { return f.router.entry->active_requests() == 1; });
    caller.link->close();
    const json line = closed_line(f);
    cr_assert(line["request"].get<std::string>().empty());
    cr_assert(line["answering"] == false);
}

Test(caller_closes, an_answer_that_is_broken_off_is_told) {
    logged_fixture f;
    f.router.add_server(
        "d", "llm", traffic::engine_phase::decode,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(stream_head(to) + http1::chunk(event_text(1)));
            link->close();
        });
    f.router.ask(prompt("/stream/x"), [] { return false; });
    const json line = closed_line(f);
    cr_assert(line["reason"] == "broken_off");
    cr_assert(line["answering"] == true);
}

// A caller that sends its next request behind an answer which ends the
// connection would lose it, if it were run.
Test(caller_closes, a_request_behind_an_answer_that_ends_it_is_not_run) {
    logged_fixture f;
    scripted_server& server =
        f.router.add_server("i", "app", plain, answer_at_once());
    stubborn_caller caller(f.router);
    caller.link->write(
        request("/unsafe/x", "Id: r1\r\nConnection: close\r\n") +
        request("/unsafe/x", "Id: r2\r\n"));
    const json line = closed_line(f);
    cr_assert(server.requests.size() == 1);
    cr_assert(line["request"].get<std::string>().empty());
    cr_assert(line["reason"] == "behind_answer");
    cr_assert(line["answering"] == false);
    cr_assert(line["answered"] == 1);
    cr_assert(line["unread_bytes"].get<int>() > 0);
}

Test(caller_closes, what_the_end_of_the_process_closes_is_told) {
    logged_fixture f;
    scripted_server& server = f.router.add_server("i", "app", plain, silent());
    stubborn_caller idle(f.router);
    stubborn_caller caller(f.router);
    caller.link->write(request("/unsafe/x"));
    f.router.run_until([&] { return server.requests.size() == 1; });
    f.router.entry->begin_drain(seconds(1));
    f.router.entry->record_unfinished();
    const std::vector<json> lines = f.lines_of("caller_closed");
    cr_assert(lines.size() == 1);
    cr_assert(lines.front()["request"] == "r1");
    cr_assert(lines.front()["reason"] == "stopped");
}

Test(caller_closes, a_connection_without_a_request_leaves_no_line) {
    logged_fixture f;
    f.router.add_server("i", "app", plain, answer_at_once());
    stubborn_caller caller(f.router);
    caller.link->write(request("/unsafe/x"));
    f.router.run_until([&] { return caller.seen.ends_with("ok"); });
    caller.link->close();
    f.router.run_until([&] { return f.router.entry->connections() == 0; });
    cr_assert(f.lines_of("caller_closed").empty());
}
