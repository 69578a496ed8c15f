#include "relay_fixture.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;
constexpr std::size_t piece_bytes = 32 * 1024;
/// What the kernel holds of a connection, and what an instance may read.
constexpr std::size_t max_written = 16 * 1024 * 1024;

/// A server that writes without end, until its caller closes.
class endless_server {
public:
    explicit endless_server(event::loop& owner)
        : timer_(owner) {}

    script behaviour(
        std::function<std::string(const received_request&)> begin,
        const std::string& repeated) {
        while (piece_.size() < piece_bytes)
            piece_ += repeated;
        return
            [this, begin = std::move(begin)](
                const received_request& to, const event::connection_ptr& link) {
                link->write(begin(to));
                write_more(link);
            };
    }

    std::size_t written = 0;
    scripted_server* server = nullptr;

private:
    void write_more(const event::connection_ptr& link) {
        if (server->closed_connections > 0)
            return;
        if (link->queued_bytes() < 4 * piece_bytes) {
            link->write(piece_);
            written += piece_.size();
        }
        timer_.start(base::milliseconds(1), [this, link] { write_more(link); });
    }

    event::timer timer_;
    std::string piece_;
};

struct endless_case {
    const char* name;
    std::string begin; ///< Behind the status line and the ID; empty: nothing.
    std::string repeated;
};

std::string status_line(const received_request& to) {
    return "HTTP/1.1 200 X\r\nId: " + to.field("Id") + "\r\nSeal: s\r\n";
}

const std::vector<endless_case>& endless_cases() {
    static const std::vector<endless_case> all = {
        {"nothing of HTTP", "", "xyz"},
        {"empty lines", "", "\r\n"},
        {"a head of one field", "A: ", "aaaa"},
        {"a head of many fields", "A: b\r\n", "B: c\r\n"},
        {"a body of chunks that are none", "Transfer-Encoding: chunked\r\n\r\n",
         "zz\r\n"},
        {"an extension of a chunk", "Transfer-Encoding: chunked\r\n\r\n5;",
         "e=f;"},
        {"trailers", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: u\r\n"},
    };
    return all;
}

/// @return the answer of a caller whose only server writes without end.
caller_view ask_endless(
    const std::function<std::string(const received_request&)>& begin,
    const std::string& repeated, const char* name) {
    relay_fixture f;
    endless_server endless(f.owner);
    endless.server =
        &f.add_server("s", "app", plain, endless.behaviour(begin, repeated));
    const auto began = f.owner.now();
    caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(f.owner.now() - began < std::chrono::seconds(2), "%s", name);
    f.run_until([&] { return endless.server->closed_connections > 0; });
    cr_assert(endless.written < max_written, "%s", name);
    return seen;
}

} // namespace

Test(endless_bytes, a_server_that_writes_no_answer_without_end_is_left) {
    for (const endless_case& one : endless_cases()) {
        const caller_view seen = ask_endless(
            [&one](const received_request& to) {
                return one.begin.empty() ? "" : status_line(to) + one.begin;
            },
            one.repeated, one.name);
        cr_assert(seen.status == 502, "%s: %d", one.name, seen.status);
    }
}

Test(endless_bytes, interim_answers_without_end_are_no_answer) {
    const caller_view seen = ask_endless(
        [](const received_request&) { return std::string(); },
        "HTTP/1.1 102 Processing\r\n\r\n", "interim answers");
    cr_assert(seen.status == 502);
}

Test(endless_bytes, answers_to_others_without_end_are_no_answer) {
    const caller_view seen = ask_endless(
        [](const received_request&) { return std::string(); },
        "HTTP/1.1 200 X\r\nId: other\r\nContent-Length: 1\r\n\r\nx",
        "answers to others");
    cr_assert(seen.status == 502);
}

Test(endless_bytes, what_follows_an_answer_is_not_read) {
    const caller_view seen = ask_endless(
        [](const received_request& to) {
            return status_line(to) + "Content-Length: 2\r\n\r\nok";
        },
        "xyz", "behind an answer");
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "ok");
}
