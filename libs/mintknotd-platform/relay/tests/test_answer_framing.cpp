#include "relay_fixture.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;
constexpr auto decode = traffic::engine_phase::decode;

/// Answers with neither a length nor chunks.
script until_close(const std::string& type, const std::string& body) {
    return [type, body](
               const received_request& to, const event::connection_ptr& link) {
        link->write(head_without_length(to, type) + body);
        link->close();
    };
}

/// Answers with a body that is too long to be held until it is whole.
script long_answer() {
    return [](const received_request& to, const event::connection_ptr& link) {
        link->write(answer_to(to, std::string(1'000'000, 'x')));
    };
}

std::string of_version(int minor, const std::string& path) {
    return "POST " + path + " HTTP/1." + std::to_string(minor) +
           "\r\nHost: h\r\nId: r1\r\nTokens: 100\r\nContent-Length: 0\r\n\r\n";
}

caller_view ask_for_stream(int minor) {
    relay_fixture f;
    f.add_server("p", "llm", traffic::engine_phase::prefill, good_prefill("k"));
    f.add_server("d", "llm", decode, until_close("events", all_events()));
    return f.ask(of_version(minor, "/stream/x"));
}

caller_view ask_plain(int minor, script behaviour) {
    relay_fixture f;
    f.add_server("s", "app", plain, std::move(behaviour));
    return f.ask(of_version(minor, "/unsafe/x"));
}

} // namespace

// Without the last chunk a caller sees that a stream ended early; without
// chunks the end of a killed process looked like the end of the stream.
Test(answer_framing, a_stream_without_length_is_passed_on_in_chunks) {
    const caller_view seen = ask_for_stream(1);
    cr_assert(seen.complete);
    cr_assert(seen.body == all_events());
    cr_assert(seen.field("Transfer-Encoding") == "chunked");
    cr_assert(seen.field("Connection").empty());
}

Test(
    answer_framing, a_stream_to_a_caller_of_http_1_0_ends_with_its_connection) {
    const caller_view seen = ask_for_stream(0);
    cr_assert(seen.complete);
    cr_assert(seen.body == all_events());
    cr_assert(seen.field("Transfer-Encoding").empty());
    cr_assert(seen.field("Connection") == "close");
}

Test(answer_framing, an_answer_that_is_held_whole_has_a_length) {
    for (const int minor : {0, 1}) {
        const caller_view seen = ask_plain(minor, until_close("text", "abc"));
        cr_assert(seen.complete);
        cr_assert(seen.field("Content-Length") == "3");
    }
}

Test(answer_framing, a_length_is_passed_on_to_callers_of_all_versions) {
    for (const int minor : {0, 1}) {
        const caller_view seen = ask_plain(minor, long_answer());
        cr_assert(seen.complete);
        cr_assert(seen.body.size() == 1'000'000);
        cr_assert(seen.field("Content-Length") == "1000000");
    }
}

Test(answer_framing, servers_are_asked_in_http_1_1) {
    relay_fixture f;
    scripted_server& server = f.add_server(
        "s", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(answer_to(to, "a"));
        });
    cr_assert(f.ask(of_version(0, "/unsafe/x")).status == 200);
    cr_assert(server.requests.at(0).head.minor_version == 1);
}
