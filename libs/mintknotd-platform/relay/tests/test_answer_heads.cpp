/// @file
/// What the head of an answer decides, however long the answer is.

#include "logged_fixture.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;
constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;
/// Longer than what is held of any answer.
constexpr std::size_t long_body = 1'000'000;

/// Answers with these fields and a long body whose end never comes.
script long_answer(const std::string& status, const std::string& fields) {
    return [=](const received_request& to, const event::connection_ptr& link) {
        link->write(
            "HTTP/1.1 " + status + " X\r\nId: " + to.field("Id") + "\r\n" +
            fields + "Content-Length: 100000000\r\n\r\n" +
            std::string(long_body, 'x'));
    };
}

/// @return the heads of answers that must not be passed on.
std::vector<script> bad_answers() {
    return {
        long_answer("200", ""), long_answer("206", "Content-Type: events\r\n"),
        long_answer("200", "Seal: s\r\nContent-Encoding: gzip\r\n"),
        long_answer("404", "Seal: s\r\nContent-Encoding: gzip\r\n")};
}

struct llm_fixture : relay_fixture {
    explicit llm_fixture(script decoding) {
        add_server("d", "llm", decode, std::move(decoding));
        add_server("p", "llm", prefill, good_prefill("k"));
    }
};

} // namespace

// A success without a seal reached the caller if it was over 256 KiB.
Test(answer_heads, a_long_bad_answer_is_not_passed_on) {
    for (const script& bad : bad_answers()) {
        relay_fixture f;
        f.add_server("s", "app", plain, bad);
        const caller_view seen = f.ask(request("/unsafe/x"));
        cr_assert(seen.status == 502);
        cr_assert(seen.body.size() < 100);
    }
}

Test(answer_heads, a_long_bad_answer_is_replaced_at_once) {
    relay_fixture f;
    scripted_server& bad =
        f.add_server("s1", "app", plain, bad_answers().front());
    f.add_server(
        "s2", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(answer_to(to, "good"));
        });
    traffic::add(f.context.state.loads, "s2", {5, 0.0, 0.0});
    const base::steady_time began = f.owner.now();
    cr_assert(f.ask(request("/safe/x")).body == "good");
    cr_assert(bad.requests.size() == 1);
    cr_assert(f.owner.now() - began < base::milliseconds(1000));
}

Test(answer_heads, a_long_bad_stream_ends_its_request_at_once) {
    for (const script& bad : bad_answers()) {
        llm_fixture f(bad);
        const base::steady_time began = f.owner.now();
        const caller_view seen = f.ask(prompt("/stream/x"));
        cr_assert(seen.status == 502);
        cr_assert(f.owner.now() - began < base::milliseconds(2000));
    }
}

// A rejection over 256 KiB was passed on in place of another try.
Test(answer_heads, a_long_rejection_is_none_the_less_one) {
    relay_fixture f;
    f.add_server("s1", "app", plain, long_answer("503", "Not-Run: 1\r\n"));
    f.add_server("s2", "app", plain, long_answer("503", "Not-Run: 1\r\n"));
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(seen.field("Own") == "1");
    cr_assert(!seen.field("Retry-After").empty());
}

// An unsafe request got 502 though its server had said that it did not run it.
Test(answer_heads, a_rejection_that_is_cut_is_none_the_less_one) {
    relay_fixture f;
    f.add_server(
        "s1", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(
                "HTTP/1.1 503 X\r\nId: " + to.field("Id") +
                "\r\nNot-Run: 1\r\nContent-Length: 100\r\n\r\n");
            link->close();
        });
    cr_assert(f.ask(request("/unsafe/x")).status == 503);
}

// A failure of over 64 KiB was cut and passed on as whole.
Test(answer_heads, a_long_failure_of_a_decode_engine_is_not_cut) {
    llm_fixture f(long_answer("500", "Seal: s\r\n"));
    cr_assert(f.ask(prompt("/stream/x")).status == 502);
}

Test(answer_heads, a_long_rejection_of_a_decode_engine_is_placed_again) {
    llm_fixture f(long_answer("503", "Not-Run: 1\r\n"));
    const caller_view seen = f.ask(prompt("/stream/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
}

// An instance waited for the end of a prefill result that had none.
Test(answer_heads, a_prefill_result_without_end_is_read_elsewhere_at_once) {
    logged_fixture f;
    f.router.add_server("d", "llm", decode, good_decode());
    f.router.add_server(
        "p", "llm", prefill, long_answer("200", "Seal: s\r\nPrefill: 1\r\n"));
    cr_assert(f.router.ask(prompt("/stream/x")).complete);
    const auto again = f.lines_of("prefill_again");
    cr_assert(!again.empty());
    cr_assert(again.front().at("reason") == "prefill_failed");
}
