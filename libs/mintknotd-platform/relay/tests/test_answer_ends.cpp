#include "relay_fixture.hpp"

#include <criterion/criterion.h>

#include <optional>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;
constexpr auto decode = traffic::engine_phase::decode;

/// Counts what exchanges report.
struct counting_guard final : crash_guard {
    std::optional<crash_block>
    find_block(const request_identity&) const override {
        return std::nullopt;
    }
    void
    report_broken_call(const request_identity&, const broken_call&) override {
        ++broken;
    }
    void report_sound(const request_identity&) override {}
    void report_answer(const request_identity&) override { ++answers; }

    int broken = 0;
    int answers = 0;
};

/// A server that writes and ends: it answers nothing more.
class ending_server {
public:
    script behaviour(const std::string& type, const std::string& text) {
        return
            [this, type, text](
                const received_request& to, const event::connection_ptr& link) {
                if (!ended_)
                    link->write(head_without_length(to, type) + text);
                ended_ = true;
                link->close();
            };
    }

private:
    bool ended_ = false;
};

/// A server that answers requests, but no health check.
script answering_no_check() {
    return [](const received_request& to, const event::connection_ptr& link) {
        if (to.head.method == "GET")
            return;
        link->write(head_without_length(to, "text") + "abc");
        link->close();
    };
}

struct fixture {
    fixture() { f.context.crashes = &guard; }
    caller_view ask_for_stream(const std::string& written) {
        f.add_server(
            "p", "llm", traffic::engine_phase::prefill, good_prefill("k"));
        f.add_server("d", "llm", decode, server.behaviour("events", written));
        return f.ask(prompt("/stream/x"));
    }
    relay_fixture f;
    counting_guard guard;
    ending_server server;
};

} // namespace

Test(answer_ends, a_server_that_ends_behind_its_head_has_not_answered) {
    fixture f;
    const caller_view seen = f.ask_for_stream("");
    cr_assert(seen.status == 502);
    cr_assert(f.guard.broken == 1);
    cr_assert(f.guard.answers == 0);
}

Test(answer_ends, a_stream_that_ends_with_its_server_does_not_appear_complete) {
    fixture f;
    const caller_view seen = f.ask_for_stream(event_text(1));
    cr_assert(seen.status == 200);
    cr_assert(!seen.complete);
    f.f.run_until([&] { return f.f.context.state.open_requests == 0; });
    cr_assert(f.guard.broken == 1);
    cr_assert(f.guard.answers == 0);
}

Test(answer_ends, a_plain_answer_that_ends_with_its_server_is_not_passed_on) {
    fixture f;
    f.f.add_server(
        "s", "app", plain, f.server.behaviour("text", "half of an an"));
    const caller_view seen = f.f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 502);
    cr_assert(f.guard.broken == 1);
    cr_assert(f.guard.answers == 0);
}

Test(answer_ends, an_answer_of_a_server_that_lives_is_whole) {
    fixture f;
    f.f.add_server(
        "s", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(head_without_length(to, "text") + "abc");
            link->close();
        });
    const caller_view seen = f.f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "abc");
    cr_assert(f.guard.broken == 0);
    cr_assert(f.guard.answers == 1);
}

Test(answer_ends, a_caller_that_leaves_during_the_check_frees_everything) {
    fixture f;
    f.f.add_server("s", "app", plain, f.server.behaviour("text", "abc"));
    int polls = 0;
    f.f.ask(request("/unsafe/x"), [&] { return ++polls > 5; });
    f.f.run_until([&] { return f.f.context.state.open_requests == 0; });
    cr_assert(f.f.context.state.loads.own.empty());
}

// A request that had run was answered 503 if its deadline passed meanwhile.
Test(answer_ends, a_deadline_during_the_check_promises_nothing) {
    fixture f;
    f.f.add_server("s", "app", plain, answering_no_check());
    const caller_view seen =
        f.f.ask(request("/unsafe/x", "Id: r1\r\nDeadline: 400\r\n"));
    cr_assert(seen.status == 504);
}
