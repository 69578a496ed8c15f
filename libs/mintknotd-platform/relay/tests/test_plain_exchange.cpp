#include "relay_fixture.hpp"
#include "scripted_placer.hpp"

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;

script saying(const std::string& body, int status = 200) {
    return [=](const received& to, const event::connection_ptr& link) {
        link->write(answer_to(to, body, status));
    };
}

script rejecting() {
    return [](const received& to, const event::connection_ptr& link) {
        link->write(rejection_of(to));
    };
}

script breaking() {
    return [](const received&, const event::connection_ptr& link) {
        link->reset();
    };
}

script silent() {
    return [](const received&, const event::connection_ptr&) {};
}

/// @return how many requests all servers have seen.
std::size_t sum(const std::vector<scripted_server*>& servers) {
    std::size_t count = 0;
    for (const scripted_server* server : servers)
        count += server->requests.size();
    return count;
}

} // namespace

Test(plain_exchange, passes_request_and_answer_on) {
    relay_fixture f;
    scripted_server& server = f.add_server("i1", "app", plain, saying("yes"));
    const caller_view seen = f.ask(request("/unsafe/x?y=%20z"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "yes");
    cr_assert(seen.field("Seal") == "s");
    cr_assert(server.requests.at(0).head.target == "/unsafe/x?y=%20z");
    cr_assert(server.requests.at(0).body == "hi");
    cr_assert(server.requests.at(0).field("Target") == "i1");
}

Test(plain_exchange, an_unsafe_request_that_may_have_run_is_not_sent_again) {
    relay_fixture f;
    scripted_server& one = f.add_server("i1", "app", plain, breaking());
    scripted_server& two = f.add_server("i2", "app", plain, breaking());
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 502);
    cr_assert(seen.field("Retry-After").empty());
    cr_assert(sum({&one, &two}) == 1);
}

Test(plain_exchange, a_safe_request_is_sent_again_within_its_attempts) {
    relay_fixture f;
    scripted_server& one = f.add_server("i1", "app", plain, breaking());
    scripted_server& two = f.add_server("i2", "app", plain, breaking());
    scripted_server& three = f.add_server("i3", "app", plain, breaking());
    cr_assert(f.ask(request("/safe/x")).status == 502);
    cr_assert(sum({&one, &two, &three}) == 2);
}

Test(plain_exchange, a_rejection_allows_another_server) {
    relay_fixture f;
    scripted_server& one = f.add_server("i1", "app", plain, rejecting());
    scripted_server& two = f.add_server("i2", "app", plain, rejecting());
    two.behaviour = saying("ran");
    one.behaviour = rejecting();
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "ran");
    cr_assert(sum({&two}) == 1);
}

Test(plain_exchange, all_rejecting_is_a_promise_with_a_time_to_come_back) {
    relay_fixture f;
    f.add_server("i1", "app", plain, rejecting());
    f.add_server("i2", "app", plain, rejecting());
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
    cr_assert(seen.field("Seal").empty());
}

Test(plain_exchange, a_dead_server_is_passed_over) {
    relay_fixture f;
    f.add_dead_server("i1", "app");
    f.add_dead_server("i2", "app");
    f.add_server("i3", "app", plain, saying("yes"));
    cr_assert(f.ask(request("/unsafe/x")).body == "yes");
}

Test(plain_exchange, after_a_long_outage_callers_are_told_to_come_back_later) {
    relay_fixture f;
    f.add_dead_server("i1", "app");
    policy::note_call_result(
        f.context.state.health, "i1", policy::call_result::good,
        f.owner.now() - std::chrono::seconds(3));
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(std::stoi(seen.field("Retry-After")) >= 3000);
}

Test(plain_exchange, a_servers_own_failure_is_passed_on) {
    relay_fixture f;
    f.add_server("i1", "app", plain, saying("oops", 500));
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 500);
    cr_assert(seen.body == "oops");
    cr_assert(seen.field("Seal") == "s");
}

Test(plain_exchange, a_success_without_seal_never_reaches_the_caller) {
    relay_fixture f;
    f.add_server(
        "i1", "app", plain,
        [](const received& to, const event::connection_ptr& link) {
            link->write(
                "HTTP/1.1 200 X\r\nId: " + to.field("Id") +
                "\r\nContent-Length: 3\r\n\r\nbad");
        });
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 502);
    cr_assert(seen.text.find("bad\n") == std::string::npos);
}

Test(plain_exchange, an_encoded_answer_is_not_what_was_asked_for) {
    relay_fixture f;
    f.add_server(
        "i1", "app", plain,
        [](const received& to, const event::connection_ptr& link) {
            link->write(
                "HTTP/1.1 200 X\r\nId: " + to.field("Id") +
                "\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: "
                "3\r\n\r\nzip");
        });
    cr_assert(f.ask(request("/unsafe/x")).status == 502);
}

Test(plain_exchange, another_requests_answer_is_not_handed_out) {
    relay_fixture f;
    f.add_server(
        "i1", "app", plain,
        [](const received& to, const event::connection_ptr& link) {
            received other = to;
            other.head.fields = {{"Id", "other"}};
            link->write(answer_to(other, "not yours") + answer_to(to, "yours"));
        });
    cr_assert(f.ask(request("/unsafe/x")).body == "yours");
}

Test(plain_exchange, an_answer_without_length_stays_without_one) {
    for (const bool orderly : {true, false}) {
        relay_fixture f;
        f.add_server(
            "i1", "app", plain,
            [orderly](const received& to, const event::connection_ptr& link) {
                link->write(
                    "HTTP/1.1 200 X\r\nId: " + to.field("Id") +
                    "\r\nSeal: s\r\n\r\nabc");
                if (orderly)
                    link->close();
            });
        caller_view seen;
        if (orderly) {
            seen = f.ask(request("/unsafe/x"));
            cr_assert(seen.whole);
            cr_assert(seen.body == "abc");
            cr_assert(seen.field("Content-Length").empty());
        } else {
            seen = f.ask(request("/unsafe/x", "Id: r1\r\nDeadline: 200\r\n"));
            cr_assert(seen.status == 504);
        }
    }
}

Test(plain_exchange, time_up_says_whether_it_may_have_run) {
    relay_fixture f;
    f.add_server("i1", "app", plain, silent());
    const caller_view seen =
        f.ask(request("/unsafe/x", "Id: r1\r\nDeadline: 100\r\n"));
    cr_assert(seen.status == 504);
    cr_assert(seen.field("Retry-After").empty());
}

Test(plain_exchange, the_time_left_is_passed_on) {
    relay_fixture f;
    scripted_server& server = f.add_server("i1", "app", plain, saying("x"));
    f.ask(request("/unsafe/x", "Id: r1\r\nDeadline: 700\r\n"));
    f.ask(request("/unsafe/x", "Id: r2\r\nDeadline: 99999\r\n"));
    cr_assert(std::stoi(server.requests.at(0).field("Left")) <= 700);
    cr_assert(std::stoi(server.requests.at(1).field("Left")) <= 5000);
}

Test(plain_exchange, a_caller_that_leaves_ends_the_call) {
    relay_fixture f;
    scripted_server& server = f.add_server("i1", "app", plain, silent());
    f.ask(request("/safe/x"), [&] { return server.requests.size() == 1; });
    f.run_until([&] { return server.ended == 1; });
    cr_assert(f.context.state.open_requests == 0);
    cr_assert(f.context.state.loads.own.empty());
}

Test(plain_exchange, without_servers_nothing_has_run) {
    relay_fixture f;
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
}

Test(plain_exchange, an_empty_retry_allowance_ends_the_retries) {
    relay_fixture f;
    f.context.state.retry_bounds = {0.0, 0.0, base::milliseconds(10000)};
    scripted_server& one = f.add_server("i1", "app", plain, breaking());
    scripted_server& two = f.add_server("i2", "app", plain, breaking());
    cr_assert(f.ask(request("/safe/x")).status == 502);
    cr_assert(sum({&one, &two}) == 1);
}

Test(plain_exchange, a_large_answer_to_a_slow_caller_is_held_back) {
    relay_fixture f;
    const std::string large(8 * 1024 * 1024, 'x');
    f.add_server("i1", "app", plain, saying(large));
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.whole);
    cr_assert(seen.body == large);
}

Test(plain_exchange, a_server_of_a_closed_data_centre_runs_nothing) {
    scripted_placer scheduler([](const policy::placement_query& query) {
        const bool told = query.excluded.contains("i1");
        return policy::placement{.server = told ? "i2" : "i1"};
    });
    relay_fixture f;
    scripted_server& closed = f.add_server("i1", "app", plain, saying("a"));
    f.add_server("i2", "app", plain, saying("b"));
    traffic::server row = *traffic::find(f.context.state.servers, "i1");
    row.data_centre = "left";
    traffic::apply(f.context.state.servers, "i1", 1000, row);
    traffic::set_closed(f.context.state.servers, "left", true);
    f.context.placement = &scheduler;
    cr_assert(f.ask(request("/unsafe/x")).body == "b");
    cr_assert(closed.requests.empty());
}
