#include "relay_fixture.hpp"
#include "scripted_placer.hpp"

#include <mintknot/http1/serialize.hpp>

#include <mintknot/policy/retry_quota.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;

/// Sends one event and a part of the next, then resets or closes the
/// connection.
script interrupting(bool reset) {
    return
        [reset](const received_request& to, const event::connection_ptr& link) {
            link->write(
                stream_head(to) + http1::chunk(event_text(1) + "id: 2\nda"));
            if (reset)
                link->reset();
            else
                link->close();
        };
}

} // namespace

Test(generation_exchange, a_prefill_result_is_handed_over_to_decode) {
    relay_fixture f;
    scripted_server& p = f.add_server("p", "llm", prefill, good_prefill("k1"));
    scripted_server& d = f.add_server("d", "llm", decode, good_decode());
    const caller_view seen = f.ask(prompt("/stream/x"));
    cr_assert(seen.status == 200);
    cr_assert(seen.body == all_events());
    cr_assert(p.requests.size() == 1);
    cr_assert(p.requests[0].field("Stage") == "prefill");
    cr_assert(d.requests.size() == 1);
    cr_assert(d.requests[0].field("From") == "k1");
    f.run_until([&] { return f.context.state.open_requests == 0; });
    cr_assert(f.context.state.loads.own.empty());
}

Test(generation_exchange, non_resumable_streams_retry_a_failed_prefill) {
    relay_fixture f;
    const script broken = [](const received_request&,
                             const event::connection_ptr& link) {
        link->reset();
    };
    scripted_server& p1 = f.add_server("p1", "llm", prefill, broken);
    scripted_server& p2 = f.add_server("p2", "llm", prefill, broken);
    p2.behaviour = good_prefill("k2");
    scripted_server& d = f.add_server("d", "llm", decode, good_decode());
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
    cr_assert(p1.requests.size() <= 1);
    cr_assert(d.requests.size() == 1);
    cr_assert(d.requests[0].field("From") == "k2");
}

Test(generation_exchange, prefill_falls_back_to_decode_engines) {
    relay_fixture f;
    scripted_server& d = f.add_server("d", "llm", decode, good_decode());
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
    cr_assert(d.requests[0].field("From").empty());
}

Test(generation_exchange, a_rejected_hand_over_goes_to_another_engine) {
    relay_fixture f;
    f.add_server("p", "llm", prefill, good_prefill("k1"));
    scripted_server& d1 = f.add_server("d1", "llm", decode, rejecting());
    scripted_server& d2 = f.add_server("d2", "llm", decode, rejecting());
    int rejected = 0;
    const script first_rejects = [&](const received_request& to,
                                     const event::connection_ptr& link) {
        if (++rejected == 1)
            link->write(rejection_of(to));
        else
            good_decode()(to, link);
    };
    d1.behaviour = first_rejects;
    d2.behaviour = first_rejects;
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
    cr_assert(d1.requests.size() == 1);
    cr_assert(d2.requests.size() == 1);
    cr_assert(d2.requests[0].field("From") == "k1");
}

Test(generation_exchange, a_broken_stream_that_is_not_resumable_is_aborted) {
    for (const bool reset : {true, false}) {
        relay_fixture f;
        f.add_server("p", "llm", prefill, good_prefill("k1"));
        scripted_server& d1 =
            f.add_server("d1", "llm", decode, interrupting(reset));
        scripted_server& d2 =
            f.add_server("d2", "llm", decode, interrupting(reset));
        const caller_view seen = f.ask(prompt("/stream/x"));
        cr_assert(!seen.complete);
        cr_assert(d1.requests.size() + d2.requests.size() == 1);
    }
}

Test(generation_exchange, a_resumable_stream_continues_after_the_last_event) {
    for (const bool reset : {true, false}) {
        relay_fixture f;
        f.add_server("p", "llm", prefill, good_prefill("k1"));
        bool broken = false;
        const script first_breaks = [&](const received_request& to,
                                        const event::connection_ptr& link) {
            if (!broken) {
                broken = true;
                interrupting(reset)(to, link);
            } else {
                good_decode()(to, link);
            }
        };
        scripted_server& d1 = f.add_server("d1", "llm", decode, first_breaks);
        scripted_server& d2 = f.add_server("d2", "llm", decode, first_breaks);
        const caller_view seen = f.ask(prompt("/resume/x"));
        cr_assert(seen.complete);
        cr_assert(seen.body == all_events());
        cr_assert(d1.requests.size() == 1);
        cr_assert(d2.requests.size() == 1);
    }
}

Test(generation_exchange, a_stream_runs_no_more_often_than_its_attempts) {
    relay_fixture f;
    std::vector<scripted_server*> engines;
    for (const char* id : {"d1", "d2", "d3", "d4"})
        engines.push_back(&f.add_server(id, "llm", decode, interrupting(true)));
    cr_assert(!f.ask(prompt("/resume/x")).complete);
    std::size_t runs = 0;
    for (const scripted_server* engine : engines)
        runs += engine->requests.size();
    cr_assert(runs == 2);
}

Test(generation_exchange, no_prefill_is_sent_without_decode_capacity) {
    relay_fixture f;
    scripted_server& p = f.add_server("p", "llm", prefill, good_prefill("k1"));
    f.add_server("d", "llm", decode, good_decode());
    traffic::add(f.context.state.loads, "d", {1, 0.0, 9000.0});
    const caller_view seen = f.ask(prompt("/stream/x", 5000));
    cr_assert(seen.status == 503);
    cr_assert(!seen.field("Retry-After").empty());
    cr_assert(p.requests.empty());
}

Test(generation_exchange, waits_for_capacity_that_is_expected_in_time) {
    relay_fixture f;
    // Decodes are short, so that capacity is expected in time.
    for (int i = 0; i < 100; ++i)
        policy::note_decode(
            f.context.state.demands["llm"], 0.5, base::milliseconds(100));
    f.add_server("p", "llm", prefill, good_prefill("k1"));
    f.add_server("d", "llm", decode, good_decode());
    traffic::add(f.context.state.loads, "d", {1, 0.0, 9000.0});
    event::timer soon(f.owner);
    soon.start(base::milliseconds(60), [&] {
        traffic::remove(f.context.state.loads, "d", {1, 0.0, 9000.0});
    });
    cr_assert(f.ask(prompt("/stream/x", 5000)).body == all_events());
}

Test(generation_exchange, does_not_wait_for_capacity_that_comes_too_late) {
    relay_fixture f;
    f.add_server("p", "llm", prefill, good_prefill("k1"));
    f.add_server("d", "llm", decode, good_decode());
    // 9,000 tokens are held for ten seconds each: 4,300 of them become free
    // after 4.8 s, but the target is one second.
    for (int i = 0; i < 300; ++i)
        policy::note_decode(
            f.context.state.demands["llm"], 0.5, base::milliseconds(10000));
    traffic::add(f.context.state.loads, "d", {1, 0.0, 9000.0});
    const caller_view seen = f.ask(prompt("/stream/x", 5000));
    cr_assert(seen.status == 503);
    cr_assert(std::stoi(seen.field("Retry-After")) > 4000);
}

Test(generation_exchange, a_placement_on_a_removed_engine_is_repeated) {
    int placements = 0;
    scripted_placer scheduler([&](const policy::placement_query&) {
        return policy::placement{.server = ++placements == 1 ? "removed" : "d"};
    });
    relay_fixture f;
    f.add_server("d", "llm", decode, good_decode());
    f.context.placement = &scheduler;
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
}

namespace {

/// Marks an engine as draining, or closes its data centre.
void make_unavailable(relay_fixture& f, const std::string& id, bool closes) {
    traffic::server_table& servers = f.context.state.servers;
    traffic::server row = *traffic::find(servers, id);
    row.draining = !closes;
    row.data_centre = "left";
    traffic::apply(servers, id, 1000, row);
    traffic::set_closed(servers, "left", closes);
}

} // namespace

Test(generation_exchange, a_draining_engine_gets_no_prefill) {
    // A scheduler that the store had rejected chose an engine that other
    // instances knew to be draining, and the prompt was sent there.
    scripted_placer scheduler([](const policy::placement_query& query) {
        const bool excluded = query.excluded_prefill.contains("leaving");
        return policy::placement{
            .server = "d", .prefill = excluded ? "p" : "leaving"};
    });
    for (const bool closes : {false, true}) {
        relay_fixture f;
        scripted_server& leaving =
            f.add_server("leaving", "llm", prefill, good_prefill("k0"));
        scripted_server& prefills =
            f.add_server("p", "llm", prefill, good_prefill("k1"));
        f.add_server("d", "llm", decode, good_decode());
        make_unavailable(f, "leaving", closes);
        f.context.placement = &scheduler;
        cr_assert(f.ask(prompt("/stream/x")).body == all_events());
        cr_assert(leaving.requests.empty());
        cr_assert(prefills.requests.size() == 1);
    }
}

Test(generation_exchange, an_expired_placement_is_requested_again) {
    // An instance without server rows knows engines only from placements. If
    // the decode engine starts to drain during the prefill, only the scheduler
    // learns of it.
    bool leaves = false;
    scripted_placer scheduler([&](const policy::placement_query& query) {
        const bool needs_prefill =
            query.kind == policy::placement_kind::prefill_and_decode;
        return policy::placement{
            .server = leaves ? "stays" : "leaves",
            .prefill = needs_prefill ? "p" : ""};
    });
    // Well below the timeout of a silent prefill.
    constexpr base::milliseconds prefill_duration{60};
    for (const bool partial : {false, true}) {
        leaves = false;
        relay_fixture f;
        event::timer prefill_timer(f.owner);
        const script answer = good_prefill("k1");
        f.add_server(
            "p", "llm", prefill,
            [&](const received_request& to, const event::connection_ptr& link) {
                prefill_timer.start(
                    prefill_duration, [&leaves, answer, to, link] {
                        leaves = true;
                        answer(to, link);
                    });
            });
        int after_leaving = 0;
        f.add_server(
            "leaves", "llm", decode,
            [&](const received_request& to, const event::connection_ptr& link) {
                after_leaving += leaves ? 1 : 0;
                good_decode()(to, link);
            });
        f.add_server("stays", "llm", decode, good_decode());
        f.context.placement = &scheduler;
        f.context.options.named_server_lifetime = prefill_duration / 2;
        f.context.state.servers.partial = partial;
        cr_assert(f.ask(prompt("/stream/x")).body == all_events());
        // An instance with server rows would have learned it from them, so that
        // it uses the placement.
        cr_assert((after_leaving == 0) == partial);
    }
}

Test(generation_exchange, an_engine_in_a_closed_data_centre_gets_no_request) {
    relay_fixture f;
    scripted_server& engine = f.add_server("d", "llm", decode, good_decode());
    make_unavailable(f, "d", true);
    cr_assert(f.ask(prompt("/stream/x")).status == 503);
    cr_assert(engine.requests.empty());
    traffic::set_closed(f.context.state.servers, "left", false);
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
}

Test(generation_exchange, queues_at_peers_lengthen_the_expected_wait) {
    relay_fixture f;
    f.add_server("d", "llm", decode, good_decode());
    for (int i = 0; i < 300; ++i)
        policy::note_decode(
            f.context.state.demands["llm"], 0.5, base::milliseconds(500));
    traffic::add(f.context.state.loads, "d", {1, 0.0, 9000.0});
    f.context.state.waiting_of_peers["peer"] = {
        {{"llm", 100000.0}}, f.owner.now()};
    cr_assert(f.ask(prompt("/stream/x", 5000)).status == 503);
}

Test(generation_exchange, an_unused_prefill_result_is_released) {
    relay_fixture f;
    scripted_server& p = f.add_server("p", "llm", prefill, good_prefill("k1"));
    f.add_server("d", "llm", decode, rejecting());
    cr_assert(f.ask(prompt("/stream/x")).status == 503);
    f.run_until([&] { return p.requests.size() >= 2; });
    cr_assert(p.requests.back().head.method == "DELETE");
    cr_assert(p.requests.back().head.target == "/k1");
}

Test(generation_exchange, a_caller_that_disconnects_cancels_the_decode) {
    relay_fixture f;
    f.add_server("p", "llm", prefill, good_prefill("k1"));
    scripted_server& d = f.add_server(
        "d", "llm", decode,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(stream_head(to) + http1::chunk(event_text(1)));
        });
    f.ask(prompt("/stream/x"), [&] { return d.requests.size() == 1; });
    f.run_until([&] { return d.closed_connections == 1; });
    cr_assert(f.context.state.loads.own.empty());
}

Test(generation_exchange, unreachable_engines_do_not_cause_a_busy_loop) {
    relay_fixture f;
    f.add_dead_server("d1", "llm");
    f.add_dead_server("d2", "llm");
    const caller_view seen = f.ask(prompt("/stream/x"));
    cr_assert(seen.status == 503);
    cr_assert(f.pool.counters().failed < 60);
}

Test(generation_exchange, a_refusal_names_unreachable_engines_as_the_reason) {
    relay_fixture f;
    f.add_dead_server("d1", "llm");
    f.add_dead_server("d2", "llm");
    const caller_view seen = f.ask(prompt("/stream/x"));
    cr_assert(
        seen.body == "server_unreachable\n", "%d %s", seen.status,
        seen.body.c_str());
    cr_assert(!seen.field("Retry-After").empty());
}

Test(generation_exchange, an_engine_failure_is_forwarded) {
    relay_fixture f;
    f.add_server(
        "d", "llm", decode,
        [](const received_request& to, const event::connection_ptr& link) {
            link->write(answer_to(to, "oops", 500));
        });
    const caller_view seen = f.ask(prompt("/stream/x"));
    cr_assert(seen.status == 500);
    cr_assert(seen.body == "oops");
}

Test(generation_exchange, a_long_prefill_queue_is_bypassed) {
    relay_fixture f;
    scripted_server& p = f.add_server("p", "llm", prefill, good_prefill("k1"));
    scripted_server& d = f.add_server("d", "llm", decode, good_decode());
    traffic::add(f.context.state.loads, "p", {1, 50000.0, 0.0});
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
    cr_assert(p.requests.empty());
    cr_assert(d.requests.size() == 1);
}

Test(generation_exchange, a_prefill_engine_is_used_if_the_target_can_be_met) {
    relay_fixture f;
    scripted_server& p = f.add_server("p", "llm", prefill, good_prefill("k1"));
    f.add_server("d", "llm", decode, good_decode());
    // 14,000 tokens at 20 per millisecond take 700 ms; the target is 1,000 ms.
    traffic::add(f.context.state.loads, "p", {1, 14000.0, 0.0});
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
    cr_assert(p.requests.size() == 1);
}

Test(generation_exchange, a_possibly_running_request_exceeds_its_target) {
    // After all instances had lost power, an engine was silent for a second,
    // and sixteen streams were given up instead of waiting for another engine.
    relay_fixture f;
    for (int i = 0; i < 100; ++i)
        policy::note_decode(
            f.context.state.demands["llm"], 0.5, base::milliseconds(100));
    const script silent = [](const received_request&,
                             const event::connection_ptr&) {};
    f.add_server("d1", "llm", decode, silent);
    f.add_server("d2", "llm", decode, good_decode());
    traffic::add(f.context.state.loads, "d2", {1, 0.0, 9000.0});
    event::timer later(f.owner);
    later.start(base::milliseconds(1300), [&] {
        traffic::remove(f.context.state.loads, "d2", {1, 0.0, 9000.0});
    });
    cr_assert(f.ask(prompt("/resume/x", 5000)).body == all_events());
}

Test(generation_exchange, refusal_comes_before_the_caller_disconnects) {
    // After a rejected decode a request waited for capacity until its caller
    // had disconnected: the refusal with its Retry-After came too late.
    relay_fixture f;
    for (traffic::route& route : f.config.routes)
        route.target_latency = base::milliseconds(200);
    f.configure();
    f.add_server("p", "llm", prefill, good_prefill("k1"));
    f.add_server("d", "llm", decode, rejecting());
    f.add_server("full", "llm", decode, good_decode());
    traffic::add(f.context.state.loads, "full", {1, 0.0, 9000.0});
    for (int i = 0; i < 100; ++i)
        policy::note_decode(
            f.context.state.demands["llm"], 0.5, base::milliseconds(100));
    const base::steady_time sent_at = f.owner.now();
    const caller_view got = f.ask(prompt("/stream/x", 2000));
    const auto duration = f.owner.now() - sent_at;
    cr_assert(got.status == 503);
    cr_assert(!got.field("Retry-After").empty());
    cr_assert(
        duration < std::chrono::milliseconds(4000),
        "request held for too long");
}
