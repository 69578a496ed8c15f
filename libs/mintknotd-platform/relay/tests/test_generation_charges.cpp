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

} // namespace

// What generation requests are charged, and what engines and callers are told.

Test(generation_exchange, every_call_after_the_first_is_charged) {
    // A decode after a rejected prefill was not charged to the retry allowance,
    // so that all instances together exceeded the retry bound.
    relay_fixture f;
    f.context.state.retry_bounds = {0.0, 0.0, base::milliseconds(10000)};
    scripted_server& p = f.add_server("p", "llm", prefill, rejecting());
    scripted_server& d = f.add_server("d", "llm", decode, good_decode());
    cr_assert(f.ask(prompt("/stream/x")).status == 503);
    cr_assert(p.requests.size() == 1);
    cr_assert(d.requests.empty());
}

Test(generation_exchange, a_request_waits_for_retries_borrowed_from_peers) {
    relay_fixture f;
    f.context.state.instances = 100;
    f.context.state.retry_bounds = {0.0, 0.0, base::milliseconds(10000)};
    f.add_server("p", "llm", prefill, rejecting());
    f.add_server("d", "llm", decode, good_decode());
    event::timer answer(f.owner);
    f.context.state.on_retries_low = [&](const std::string&, int) {
        const base::steady_time requested_at = f.owner.now();
        answer.start(base::milliseconds(5), [&f, requested_at] {
            policy::add_borrowed_retries(
                f.context.state.retry_allowances["llm"], 4, requested_at,
                f.owner.now());
        });
    };
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
}

Test(generation_exchange, a_request_is_refused_if_no_retries_can_be_borrowed) {
    relay_fixture f;
    f.context.state.instances = 100;
    f.context.state.retry_bounds = {0.0, 0.0, base::milliseconds(10000)};
    f.add_server("p", "llm", prefill, rejecting());
    scripted_server& d = f.add_server("d", "llm", decode, good_decode());
    cr_assert(f.ask(prompt("/stream/x")).status == 503);
    cr_assert(d.requests.empty());
}

Test(generation_exchange, a_prefill_that_is_executed_is_not_charged) {
    relay_fixture f;
    f.context.state.retry_bounds = {0.0, 0.0, base::milliseconds(10000)};
    f.add_server("p", "llm", prefill, good_prefill("k1"));
    f.add_server("d", "llm", decode, good_decode());
    cr_assert(f.ask(prompt("/stream/x")).body == all_events());
}

Test(generation_exchange, no_prefill_is_sent_without_allowance_for_the_decode) {
    // After a lost prefill a second engine processed the prompt, but then no
    // retry allowance was left for the decode.
    relay_fixture f;
    f.context.state.retry_bounds = {0.0, 0.0, base::milliseconds(10000)};
    const script broken = [](const received_request&,
                             const event::connection_ptr& link) {
        link->close();
    };
    scripted_server& first = f.add_server("p1", "llm", prefill, broken);
    scripted_server& second = f.add_server("p2", "llm", prefill, broken);
    f.add_server("d", "llm", decode, good_decode());
    const caller_view seen = f.ask(prompt("/stream/x"));
    cr_assert(seen.body == all_events());
    cr_assert(first.requests.size() + second.requests.size() == 1);
}

Test(generation_exchange, silence_without_allowance_does_not_end_an_answer) {
    relay_fixture f;
    f.context.state.retry_bounds.extra = 0.0;
    f.context.state.retry_bounds.ratio = 0.0;
    event::timer later(f.owner);
    const script pausing = [&later](
                               const received_request& to,
                               const event::connection_ptr& link) {
        link->write(stream_head(to) + http1::chunk(event_text(1)));
        later.start(base::milliseconds(1500), [link] {
            link->write(
                http1::chunk(event_text(2) + event_text(3)) +
                std::string(http1::last_chunk));
        });
    };
    f.add_server("d1", "llm", decode, pausing);
    f.add_server("d2", "llm", decode, pausing);
    const caller_view seen = f.ask(prompt("/resume/x"));
    cr_assert(seen.complete);
    cr_assert(seen.body == all_events());
}

namespace {

/// A fixture whose streams have the priorities 0 and 2.
struct two_priorities : relay_fixture {
    two_priorities() {
        for (traffic::route& route : config.routes)
            if (route.name == "resume")
                route.priority = 2;
        configure();
        p = &add_server("p", "llm", prefill, good_prefill("k1"));
        d = &add_server("d", "llm", decode, good_decode());
    }
    scripted_server* p = nullptr;
    scripted_server* d = nullptr;
};

} // namespace

// Guards against engines that preempt urgent streams for others.
Test(generation_exchange, engines_are_told_how_urgent_a_request_is) {
    two_priorities f;
    f.context.state.capacity_sharing = true;
    cr_assert(f.ask(prompt("/stream/x")).complete);
    cr_assert(f.ask(prompt("/resume/x")).complete);
    for (const scripted_server* engine : {f.p, f.d}) {
        cr_assert(engine->requests.at(0).field("Urgency") == "3");
        cr_assert(engine->requests.at(1).field("Urgency") == "5");
    }
}

// Guards against a changed request where the switch is off or there is nothing
// to tell apart.
Test(generation_exchange, no_urgency_without_sharing_or_with_one_priority) {
    two_priorities off;
    cr_assert(off.ask(prompt("/stream/x")).complete);
    cr_assert(off.d->requests.at(0).field("Urgency").empty());
    relay_fixture same;
    same.context.state.capacity_sharing = true;
    scripted_server& d = same.add_server("d", "llm", decode, good_decode());
    cr_assert(same.ask(prompt("/stream/x")).complete);
    cr_assert(d.requests.at(0).field("Urgency").empty());
}

// Guards against a time to return at which the caller has long given up.
Test(generation_exchange, a_refused_caller_is_told_a_time_that_it_obeys) {
    relay_fixture f;
    scripted_placer full([](const policy::placement_query&) {
        policy::placement none;
        none.capacity.engines = 1;
        none.capacity.forecast = {std::chrono::seconds(90), 0.01};
        return none;
    });
    f.context.placement = &full;
    const auto told = [&f] {
        const caller_view seen = f.ask(prompt("/stream/x"));
        cr_assert(seen.status == 503);
        return std::stod(seen.field("Retry-After")); // Milliseconds.
    };
    cr_assert(told() > 80000.0, "as before while capacity is not shared");
    f.context.state.capacity_sharing = true;
    cr_assert(told() <= 60000.0 / 3.0);
}
