#include "relay_fixture.hpp"
#include "scripted_placer.hpp"
#include <mintknot/relay/server_results.hpp>

#include <mintknot/http1/serialize.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto plain = traffic::engine_phase::none;

script answering_with(const std::string& body, int status = 200) {
    return [=](const received_request& to, const event::connection_ptr& link) {
        link->write(answer_to(to, body, status));
    };
}

script resetting() {
    return [](const received_request&, const event::connection_ptr& link) {
        link->reset();
    };
}

/// @return the number of requests that the servers have received.
std::size_t total_requests(const std::vector<scripted_server*>& servers) {
    std::size_t count = 0;
    for (const scripted_server* server : servers)
        count += server->requests.size();
    return count;
}

} // namespace

Test(plain_exchange, forwards_request_and_answer) {
    relay_fixture f;
    scripted_server& server =
        f.add_server("i1", "app", plain, answering_with("yes"));
    const caller_view seen = f.ask(request("/unsafe/x?y=%20z"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "yes");
    cr_assert(seen.field("Seal") == "s");
    cr_assert(server.requests.at(0).head.target == "/unsafe/x?y=%20z");
    cr_assert(server.requests.at(0).body == "hi");
    cr_assert(server.requests.at(0).field("Target") == "i1");
}

Test(plain_exchange, an_unsafe_request_that_may_have_run_is_not_retried) {
    relay_fixture f;
    scripted_server& one = f.add_server("i1", "app", plain, resetting());
    scripted_server& two = f.add_server("i2", "app", plain, resetting());
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 502);
    cr_assert(seen.field("Retry-After").empty());
    cr_assert(total_requests({&one, &two}) == 1);
}

Test(plain_exchange, a_safe_request_is_retried_up_to_its_attempts) {
    relay_fixture f;
    scripted_server& one = f.add_server("i1", "app", plain, resetting());
    scripted_server& two = f.add_server("i2", "app", plain, resetting());
    scripted_server& three = f.add_server("i3", "app", plain, resetting());
    cr_assert(f.ask(request("/safe/x")).status == 502);
    cr_assert(total_requests({&one, &two, &three}) == 2);
}

Test(plain_exchange, a_rejected_request_goes_to_another_server) {
    relay_fixture f;
    scripted_server& one = f.add_server("i1", "app", plain, rejecting());
    scripted_server& two = f.add_server("i2", "app", plain, rejecting());
    two.behaviour = answering_with("ran");
    one.behaviour = rejecting();
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == "ran");
    cr_assert(total_requests({&two}) == 1);
}

Test(plain_exchange, rejection_by_all_servers_is_a_503_with_retry_after) {
    relay_fixture f;
    f.add_server("i1", "app", plain, rejecting());
    f.add_server("i2", "app", plain, rejecting());
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
    cr_assert(seen.field("Seal").empty());
}

Test(plain_exchange, an_unreachable_server_is_skipped) {
    relay_fixture f;
    f.add_dead_server("i1", "app");
    f.add_dead_server("i2", "app");
    f.add_server("i3", "app", plain, answering_with("yes"));
    cr_assert(f.ask(request("/unsafe/x")).body == "yes");
}

Test(plain_exchange, retry_after_grows_with_the_age_of_an_outage) {
    relay_fixture f;
    f.add_dead_server("i1", "app");
    policy::note_call_result(
        f.context.state.health, "i1", policy::call_result::good,
        f.owner.now() - std::chrono::seconds(3));
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(std::stoi(seen.field("Retry-After")) >= 3000);
}

Test(plain_exchange, a_server_failure_is_forwarded) {
    relay_fixture f;
    f.add_server("i1", "app", plain, answering_with("oops", 500));
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 500);
    cr_assert(seen.body == "oops");
    cr_assert(seen.field("Seal") == "s");
}

Test(plain_exchange, a_success_without_signature_never_reaches_the_caller) {
    relay_fixture f;
    f.add_server(
        "i1", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(
                "HTTP/1.1 200 X\r\nId: " + to.field("Id") +
                "\r\nContent-Length: 3\r\n\r\nbad");
        });
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 502);
    cr_assert(seen.text.find("bad\n") == std::string::npos);
}

Test(plain_exchange, an_answer_with_content_coding_is_refused) {
    relay_fixture f;
    f.add_server(
        "i1", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(
                "HTTP/1.1 200 X\r\nId: " + to.field("Id") +
                "\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: "
                "3\r\n\r\nzip");
        });
    cr_assert(f.ask(request("/unsafe/x")).status == 502);
}

Test(plain_exchange, an_answer_to_another_request_is_not_forwarded) {
    relay_fixture f;
    f.add_server(
        "i1", "app", plain,
        [](const received_request& to, const event::connection_ptr& link) {
            received_request other = to;
            other.head.fields = {{"Id", "other"}};
            link->write(answer_to(other, "not yours") + answer_to(to, "yours"));
        });
    cr_assert(f.ask(request("/unsafe/x")).body == "yours");
}

Test(plain_exchange, an_answer_without_length_is_whole_with_its_connection) {
    for (const bool orderly : {true, false}) {
        relay_fixture f;
        f.add_server(
            "i1", "app", plain,
            [orderly](
                const received_request& to, const event::connection_ptr& link) {
                link->write(
                    "HTTP/1.1 200 X\r\nId: " + to.field("Id") +
                    "\r\nSeal: s\r\n\r\nabc");
                if (orderly)
                    link->close();
            });
        caller_view seen;
        if (orderly) {
            seen = f.ask(request("/unsafe/x"));
            cr_assert(seen.complete);
            cr_assert(seen.body == "abc");
            cr_assert(seen.field("Content-Length") == "3");
        } else {
            seen = f.ask(request("/unsafe/x", "Id: r1\r\nDeadline: 200\r\n"));
            cr_assert(seen.status == 504);
        }
    }
}

Test(plain_exchange, a_deadline_after_the_send_gives_504_without_retry_after) {
    relay_fixture f;
    f.add_server("i1", "app", plain, silent());
    const caller_view seen =
        f.ask(request("/unsafe/x", "Id: r1\r\nDeadline: 100\r\n"));
    cr_assert(seen.status == 504);
    cr_assert(seen.field("Retry-After").empty());
}

Test(plain_exchange, the_remaining_time_is_forwarded) {
    relay_fixture f;
    scripted_server& server =
        f.add_server("i1", "app", plain, answering_with("x"));
    f.ask(request("/unsafe/x", "Id: r1\r\nDeadline: 700\r\n"));
    f.ask(request("/unsafe/x", "Id: r2\r\nDeadline: 99999\r\n"));
    cr_assert(std::stoi(server.requests.at(0).field("Left")) <= 700);
    cr_assert(std::stoi(server.requests.at(1).field("Left")) <= 5000);
}

Test(plain_exchange, a_caller_that_disconnects_cancels_the_call) {
    relay_fixture f;
    scripted_server& server = f.add_server("i1", "app", plain, silent());
    f.ask(request("/safe/x"), [&] { return server.requests.size() == 1; });
    f.run_until([&] { return server.closed_connections == 1; });
    cr_assert(f.context.state.open_requests == 0);
    cr_assert(f.context.state.loads.own.empty());
}

Test(plain_exchange, without_servers_the_answer_is_503_with_retry_after) {
    relay_fixture f;
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
}

Test(plain_exchange, a_spent_retry_allowance_prevents_retries) {
    relay_fixture f;
    f.context.state.retry_bounds = {0.0, 0.0, base::milliseconds(10000)};
    scripted_server& one = f.add_server("i1", "app", plain, resetting());
    scripted_server& two = f.add_server("i2", "app", plain, resetting());
    cr_assert(f.ask(request("/safe/x")).status == 502);
    cr_assert(total_requests({&one, &two}) == 1);
}

Test(plain_exchange, a_large_answer_is_complete_despite_backpressure) {
    relay_fixture f;
    const std::string large(8 * 1024 * 1024, 'x');
    f.add_server("i1", "app", plain, answering_with(large));
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.complete);
    cr_assert(seen.body == large);
}

Test(plain_exchange, a_server_in_a_closed_data_centre_gets_no_request) {
    scripted_placer scheduler([](const policy::placement_query& query) {
        const bool excluded = query.excluded.contains("i1");
        return policy::placement{.server = excluded ? "i2" : "i1"};
    });
    relay_fixture f;
    scripted_server& closed =
        f.add_server("i1", "app", plain, answering_with("a"));
    f.add_server("i2", "app", plain, answering_with("b"));
    traffic::server row = *traffic::find(f.context.state.servers, "i1");
    row.data_centre = "left";
    traffic::apply(f.context.state.servers, "i1", 1000, row);
    traffic::set_closed(f.context.state.servers, "left", true);
    f.context.placement = &scheduler;
    cr_assert(f.ask(request("/unsafe/x")).body == "b");
    cr_assert(closed.requests.empty());
}

namespace {

/// Makes a fixture share capacity.
void share_capacity(relay_fixture& f) {
    f.context.options.callers_compete = true;
    f.context.state.capacity_sharing = true;
}

/// @return a placement that denies capacity.
policy::placement denial() {
    policy::placement denied;
    denied.denial = policy::capacity_denial::late;
    denied.expected_wait = base::milliseconds(80);
    return denied;
}

} // namespace

// Guards against calls that are sent, or wait, in spite of a denial.
Test(plain_exchange, a_denied_call_is_refused_at_once) {
    scripted_placer scheduler(
        [](const policy::placement_query&) { return denial(); });
    relay_fixture f;
    share_capacity(f);
    scripted_server& server =
        f.add_server("i1", "app", plain, answering_with("yes"));
    f.context.placement = &scheduler;
    const base::steady_time asked = f.owner.now();
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(seen.body == "no_capacity\n");
    cr_assert(!seen.field("Retry-After").empty());
    cr_assert(f.owner.now() - asked < base::milliseconds(1000));
    cr_assert(server.requests.empty());
    cr_assert(
        f.metrics.text().find(
            "mintknot_plain_decisions_total{denial=\"late\"} 1") !=
        std::string::npos);
}

// Guards against repeated sends to servers that are known to be full: the retry
// after a rejection asks for capacity again, with the target that is left.
Test(plain_exchange, a_retry_after_a_rejection_passes_admission) {
    std::vector<policy::capacity_claim> claims;
    scripted_placer scheduler([&](const policy::placement_query& query) {
        claims.push_back(query.claim.value());
        return claims.size() == 1 ? policy::placement{.server = "i1"}
                                  : denial();
    });
    relay_fixture f;
    share_capacity(f);
    scripted_server& server = f.add_server("i1", "app", plain, rejecting());
    f.context.placement = &scheduler;
    const caller_view seen = f.ask(request("/safe/x"));
    cr_assert(seen.status == 503);
    cr_assert(seen.body == "no_capacity\n");
    cr_assert(server.requests.size() == 1);
    cr_assert(claims.size() == 2 && !claims.at(1).begun);
    cr_assert(claims.at(1).target_left <= claims.at(0).target_left);
    cr_assert(
        f.context.state.plain_times.by_id.at("i1").rejections == 1,
        "the server's limit falls");
}

// Guards against a call that may have run and is refused as one that has not.
Test(plain_exchange, a_denial_after_a_lost_answer_does_not_claim_not_run) {
    int asked = 0;
    scripted_placer scheduler([&](const policy::placement_query& query) {
        cr_assert(query.claim->begun == (asked > 0));
        return ++asked == 1 ? policy::placement{.server = "i1"} : denial();
    });
    relay_fixture f;
    share_capacity(f);
    f.add_server("i1", "app", plain, resetting());
    f.context.placement = &scheduler;
    const caller_view seen = f.ask(request("/safe/x"));
    cr_assert(seen.status == 502);
    cr_assert(seen.field("Retry-After").empty());
    cr_assert(asked == 2);
}

// Guards against service times that contain the time in the server's queue.
Test(plain_exchange, time_in_the_queue_does_not_count_as_service) {
    scripted_placer scheduler([](const policy::placement_query&) {
        policy::placement placed{.server = "i1"};
        placed.plain = policy::plain_forecast{192, base::milliseconds(10), {}};
        return placed;
    });
    relay_fixture f;
    share_capacity(f);
    event::timer answer(f.owner);
    f.add_server(
        "i1", "app", plain,
        [&](const received_request& to, const event::connection_ptr& link) {
            answer.start(base::milliseconds(200), [to, link] {
                link->write(answer_to(to, "yes"));
            });
        });
    f.context.placement = &scheduler;
    cr_assert(f.ask(request("/unsafe/x")).status == 200);
    // 192 calls ahead at 64 slots: three quarters of the time.
    const double mean = f.context.state.plain_times.by_id.at("i1").mean_ms;
    cr_assert(mean >= 50.0 && mean < 100.0, "%f", mean);
}

// Guards against calls of an idle service that are refused, and against
// observations where capacity is not shared.
Test(plain_exchange, calls_of_an_idle_service_are_sent) {
    for (const bool shared : {true, false}) {
        relay_fixture f;
        f.context.state.capacity_sharing = shared;
        f.add_server("i1", "app", plain, answering_with("yes"));
        for (int i = 0; i < 12; ++i)
            cr_assert(f.ask(request("/unsafe/x")).status == 200);
        cr_assert(f.context.state.plain_times.by_id.contains("i1") == shared);
    }
}

// Guards against a service without servers that counts as one without capacity:
// the return time of its callers follows the outage.
Test(plain_exchange, an_outage_is_no_denial) {
    relay_fixture f;
    share_capacity(f);
    f.add_dead_server("i1", "app");
    const caller_view seen = f.ask(request("/unsafe/x"));
    cr_assert(seen.status == 503);
    cr_assert(seen.body != "no_capacity\n", "%s", seen.body.c_str());
}

// Guards against the fixed return time of a call that servers rejected as full
// and that has no retry left.
Test(plain_exchange, a_rejected_call_without_retry_is_refused_for_capacity) {
    for (const bool shared : {true, false}) {
        relay_fixture f;
        f.context.state.capacity_sharing = shared;
        f.context.state.retry_bounds = {0.0, 0.0, base::milliseconds(10000)};
        f.add_server("i1", "app", plain, rejecting());
        const caller_view seen = f.ask(request("/unsafe/x"));
        cr_assert(seen.status == 503);
        cr_assert(
            seen.body == (shared ? "no_capacity\n" : "server_rejected\n"));
    }
}

// Guards against an outage that is reported where all servers are full: a retry
// is left, but no server that has not rejected the call.
Test(plain_exchange, a_call_rejected_by_all_servers_is_refused_for_capacity) {
    for (const bool shared : {true, false}) {
        relay_fixture f;
        f.context.state.capacity_sharing = shared;
        f.context.state.retry_bounds = {1.0, 20.0, base::milliseconds(10000)};
        f.add_server("i1", "app", plain, rejecting());
        const caller_view seen = f.ask(request("/unsafe/x"));
        cr_assert(seen.status == 503);
        cr_assert(
            seen.body == (shared ? "no_capacity\n" : "no_backend_server\n"));
    }
}
