#include "relay_fixture.hpp"

#include <mintknot/policy/drain.hpp>

#include <criterion/criterion.h>

#include <optional>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;
using std::chrono::seconds;

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++found;
    return found;
}

} // namespace

Test(entry_server, pipelined_requests_are_answered_in_order) {
    relay_fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echo_id());
    const caller_view seen = f.ask(
        request("/unsafe/1", "Id: a\r\n") + request("/unsafe/2", "Id: b\r\n") +
            request("/unsafe/3", "Id: c\r\nConnection: close\r\n"),
        [] { return false; });
    cr_assert(server.requests.size() == 3);
    cr_assert(count(seen.text, "HTTP/1.1 200") == 3);
    cr_assert(seen.text.find("\r\n\r\na") < seen.text.find("\r\n\r\nb"));
    cr_assert(seen.text.find("\r\n\r\nb") < seen.text.find("\r\n\r\nc"));
}

Test(entry_server, a_smuggled_request_reaches_no_server) {
    relay_fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echo_id());
    const caller_view seen = f.ask(
        "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        "POST /unsafe/y HTTP/1.1\r\nHost: h\r\nId: b\r\n\r\n");
    cr_assert(seen.status == 400);
    cr_assert(server.requests.empty());
}

Test(entry_server, an_unknown_transfer_coding_reaches_no_server) {
    for (const char* coding :
         {"identity", "gzip", "xchunked", "chunked, chunked",
          "chunked, identity", "gzip, chunked", "chunked;q=1"}) {
        relay_fixture f;
        scripted_server& server = f.add_server("i", "app", plain, echo_id());
        const caller_view seen = f.ask(
            std::string("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: a\r\n") +
                "Transfer-Encoding: " + coding +
                "\r\n\r\nPOST /unsafe/y HTTP/1.1\r\nHost: h\r\nId: b\r\n\r\n",
            [] { return false; });
        cr_assert(seen.status == 400, "coding %s", coding);
        cr_assert(count(seen.text, "HTTP/1.1 ") == 1, "coding %s", coding);
        cr_assert(server.requests.empty(), "coding %s", coding);
    }
}

Test(entry_server, malformed_requests_are_answered_with_400) {
    relay_fixture f;
    for (const char* bytes :
         {"nonsense\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n",
          "GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n"}) {
        const caller_view seen = f.ask(bytes, [] { return false; });
        cr_assert(seen.status == 400);
    }
}

Test(entry_server, unknown_route_and_missing_configuration_are_refused) {
    relay_fixture f;
    cr_assert(f.ask(request("/other/x")).status == 404);
    f.context.state.config = nullptr;
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
}

Test(entry_server, chunked_body_is_forwarded_completely) {
    relay_fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echo_id());
    f.ask("POST /safe/x HTTP/1.1\r\nHost: h\r\nId: a\r\nTransfer-Encoding: "
          "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    cr_assert(server.requests.at(0).body == "abcde");
    cr_assert(server.requests.at(0).field("Content-Length") == "5");
}

Test(entry_server, answers_close_the_connection_while_stopping) {
    relay_fixture f;
    f.add_server("i", "app", plain, echo_id());
    f.entry->begin_drain(seconds(8));
    const caller_view seen = f.ask(request("/unsafe/x"), [] { return false; });
    cr_assert(seen.status == 200);
    cr_assert(seen.field("Connection") == "close");
}

Test(entry_server, streams_are_refused_late_in_a_shutdown) {
    // A stream that is accepted five seconds after SIGTERM would be cut off at
    // the end of the grace period.
    relay_fixture f;
    f.add_server("d", "llm", traffic::engine_phase::decode, good_decode());
    f.entry->begin_drain(seconds(8));
    f.context.state.stop_began -= seconds(5);
    const caller_view seen = f.ask(request("/stream/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
}

// A request whose decode would have begun late in a stop was cut at its end.
Test(entry_server, a_stream_that_waits_too_long_during_a_stop_is_refused) {
    relay_fixture f;
    event::timer later(f.owner);
    scripted_server& engine =
        f.add_server("d", "llm", traffic::engine_phase::decode, good_decode());
    f.add_server(
        "p", "llm", traffic::engine_phase::prefill,
        [&](const received_request& to, const event::connection_ptr& link) {
            f.entry->begin_drain(seconds(8));
            f.context.state.stop_began -= seconds(5);
            good_prefill("k")(to, link);
        });
    const caller_view seen = f.ask(prompt("/stream/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
    cr_assert(engine.requests.empty());
}

// What was under way at the end of a stop was cut with no answer.
Test(entry_server, every_request_has_an_answer_at_the_end_of_a_stop) {
    relay_fixture f;
    scripted_server& server = f.add_server("i", "app", plain, silent());
    f.entry->begin_drain(seconds(8));
    bool ended = false;
    const auto end = [&] {
        if (!server.requests.empty() && !std::exchange(ended, true))
            f.entry->end_all();
        return f.entry->connections() == 0 && ended;
    };
    const caller_view seen = f.ask(request("/unsafe/x"), end);
    cr_assert(seen.status == 502);
    cr_assert(seen.field("Retry-After").empty());
    cr_assert(seen.complete);
}

Test(entry_server, a_request_half_read_at_the_end_of_a_stop_is_refused) {
    relay_fixture f;
    f.entry->begin_drain(seconds(8));
    int polls = 0;
    const caller_view seen =
        f.ask("POST /unsafe/x HTTP/1.1\r\nHost: h\r\n", [&] {
            if (++polls == 20)
                f.entry->end_all();
            return polls > 20 && f.entry->connections() == 0;
        });
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
}

Test(drain, exits_when_idle_or_before_the_grace_period_ends) {
    cr_assert(
        policy::next_drain_step(seconds(0), seconds(8), 0) ==
        policy::drain_step::serve);
    cr_assert(
        policy::next_drain_step(seconds(2), seconds(8), 0) ==
        policy::drain_step::close_idle);
    cr_assert(
        policy::next_drain_step(seconds(3), seconds(8), 0) ==
        policy::drain_step::terminate);
    cr_assert(
        policy::next_drain_step(seconds(7), seconds(8), 3) ==
        policy::drain_step::close_idle);
    cr_assert(
        policy::next_drain_step(base::milliseconds(7700), seconds(8), 3) ==
        policy::drain_step::terminate);
    cr_assert(
        policy::next_drain_step(seconds(0), seconds(0), 9) ==
        policy::drain_step::terminate);
}

Test(entry_server, refuses_new_connections_and_serves_the_open_ones) {
    relay_fixture f;
    f.add_server("i", "app", plain, echo_id());
    const event::connection_ptr open = f.connect_idle();
    std::string seen;
    open->set_handlers(
        {[&](std::string_view bytes) { seen += bytes; },
         [](event::connection_end) {}, nullptr});
    const base::address where{"127.0.0.1", f.entry->port()};
    f.run_until([&] { return f.entry->connections() == 1; });
    f.entry->stop_accepting();
    std::optional<event::connect_result> second;
    event::connect(
        f.owner, where, seconds(5),
        [&](const event::connection_ptr&, event::connect_result result) {
            second = result;
        });
    f.run_until([&] { return second.has_value(); });
    cr_assert(second == event::connect_result::refused);
    open->write(request("/unsafe/1", "Id: a\r\n"));
    f.run_until([&] { return seen.find("\r\n\r\na") != std::string::npos; });
    cr_assert(f.entry->resume_accepting().ok());
    cr_assert(f.entry->port() == where.port);
    cr_assert(f.ask(request("/unsafe/2", "Id: b\r\n")).status == 200);
}
