/// @file
/// Callers that do not keep to the limits.

#include "relay_fixture.hpp"

#include <mintknot/policy/caller_memory.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <vector>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;

std::size_t open_descriptors() {
    const std::filesystem::directory_iterator all("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

} // namespace

// Answers to pipelined requests were queued without a bound.
Test(entry_server, answers_that_are_not_read_hold_up_the_next_requests) {
    constexpr int requests = 1'000'000;
    constexpr int quiet_polls = 100;
    constexpr std::size_t max_queued = 512 * 1024;
    relay_fixture f;
    const event::connection_ptr caller = f.connect_idle();
    caller->set_handlers(
        {[](std::string_view) {}, [](event::connection_end) {}, nullptr});
    caller->pause_reading();
    std::string all;
    for (int i = 0; i < requests; ++i)
        all += request("/other/x");
    caller->write(all);
    std::size_t max_held = 0;
    std::size_t left = 0;
    int quiet = 0;
    f.run_until([&] {
        max_held = std::max(max_held, f.context.state.caller_bytes);
        quiet = caller->queued_bytes() == left ? quiet + 1 : 0;
        left = caller->queued_bytes();
        return quiet == quiet_polls;
    });
    cr_assert(max_held < max_queued, "%zu held, %zu left", max_held, left);
    cr_assert(left > 0);
}

Test(entry_server, enforces_header_and_body_limits) {
    relay_fixture f;
    f.config.limits.header_bytes = 200;
    f.config.limits.body_bytes = 10;
    f.configure();
    cr_assert(
        f.ask("GET /" + std::string(300, 'a') + " HTTP/1.1\r\n").status == 431);
    cr_assert(
        f.ask("POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n")
            .status == 413);
}

Test(entry_server, nobody_is_asked_for_a_body_that_is_refused) {
    relay_fixture f;
    f.config.limits.body_bytes = 10;
    f.configure();
    const caller_view seen =
        f.ask("POST /safe/ HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
              "Content-Length: 11\r\n\r\n");
    cr_assert(seen.text.starts_with("HTTP/1.1 413"));
}

Test(entry_server, slow_header_times_out) {
    relay_fixture f;
    f.config.limits.header_timeout = base::milliseconds(50);
    f.configure();
    cr_assert(f.ask("GET / HT").status == 408);
}

Test(entry_server, body_memory_limit_refuses_without_forwarding) {
    relay_fixture f;
    scripted_server& server = f.add_server("i", "app", plain, echo_id());
    f.context.options.max_caller_bytes = 1;
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
    cr_assert(server.requests.empty());
    f.run_until([&] { return f.entry->connections() == 0; });
    cr_assert(f.context.state.caller_bytes <= policy::connection_bytes);
}

Test(entry_server, new_caller_replaces_the_longest_idle_one) {
    relay_fixture f;
    f.add_server("i", "app", plain, echo_id());
    f.context.options.max_callers = 2;
    const event::connection_ptr first = f.connect_idle();
    bool first_ended = false;
    first->set_handlers(
        {[](std::string_view) {},
         [&](event::connection_end) { first_ended = true; }, nullptr});
    const event::connection_ptr second = f.connect_idle();
    cr_assert(f.ask(request("/unsafe/x")).status == 200);
    f.run_until([&] { return first_ended; });
}

// Connections on which a request had begun shut out all others.
Test(entry_server, a_stalled_request_gives_its_place_to_a_new_caller) {
    relay_fixture f;
    f.add_server("i", "app", plain, echo_id());
    f.context.options.max_callers = 1;
    const event::connection_ptr stalled = f.connect_idle();
    std::string seen;
    stalled->set_handlers(
        {[&](std::string_view bytes) { seen += bytes; },
         [](event::connection_end) {}, nullptr});
    stalled->write("POST /safe/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
    int status = 0;
    while (status == 0)
        status = f.ask(request("/unsafe/x")).status;
    cr_assert(status == 200);
    f.run_until([&] { return seen.starts_with("HTTP/1.1 408"); });
}

Test(entry_server, closed_connections_count_until_they_are_gone) {
    relay_fixture f;
    f.add_server("i", "app", plain, echo_id());
    f.context.options.max_callers = 2;
    cr_assert(f.ask(request("/unsafe/x")).status == 200);
    f.run_until([&] { return f.entry->connections() == 0; });
    const std::size_t before = open_descriptors();
    std::vector<event::connection_ptr> callers;
    std::size_t answered = 0;
    for (int i = 0; i < 6; ++i) {
        callers.push_back(f.connect_idle());
        // They never end their own direction.
        callers.back()->set_handlers(
            {[&](std::string_view) { ++answered; },
             [](event::connection_end) {}, nullptr});
        callers.back()->write(request("/unsafe/x", "Connection: close\r\n"));
        f.run_until([&] {
            return answered == callers.size() && f.entry->connections() == 0;
        });
    }
    const std::size_t at_the_instance =
        open_descriptors() - before - callers.size();
    cr_assert(at_the_instance <= f.context.options.max_callers);
    cr_assert(f.context.state.caller_bytes <= 2 * policy::connection_bytes);
}

Test(entry_server, new_caller_is_rejected_if_no_caller_is_idle) {
    relay_fixture f;
    scripted_server& server = f.add_server(
        "i", "app", plain,
        [](const received_request&, const event::connection_ptr&) {});
    f.context.options.max_callers = 1;
    const event::connection_ptr busy = f.connect_idle();
    busy->write(request("/unsafe/x"));
    f.run_until([&] { return server.requests.size() == 1; });
    cr_assert(f.ask(request("/unsafe/x")).status == 0);
    cr_assert(server.requests.size() == 1);
}
