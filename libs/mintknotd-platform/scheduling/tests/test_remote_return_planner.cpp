#include "relay_fixture.hpp"

#include <mintknot/scheduling/remote_return_planner.hpp>
#include <mintknot/scheduling/return_messages.hpp>

#include <criterion/criterion.h>

#include <deque>
#include <optional>

using namespace mintknot;
using namespace mintknot::scheduling;
using base::milliseconds;
using relay::tests::relay_fixture;

namespace {

struct sent_datagram {
    std::string host;
    return_message value;
};

/// A planner that records its datagrams, in a group of the given hosts. Its
/// engine is full.
struct planner_fixture {
    explicit planner_fixture(std::vector<std::string> all_hosts)
        : hosts(std::move(all_hosts))
        , planner(
              f.context,
              {"own",
               [this](const std::string& host, const std::string& datagram) {
                   auto value = decode_return(datagram);
                   cr_assert(value.ok());
                   sent.push_back({host, *std::move(value)});
               },
               [this](const std::string&) { return hosts; },
               [] { return true; }, [this] { return knows_servers; }},
              [this](const policy::domain& which) {
                  return policy::scheduler_of(which, hosts);
              }) {
        f.context.state.capacity_sharing = true;
        traffic::server row;
        row.id = "d";
        row.service = "llm";
        row.slots = 8;
        row.phase = traffic::engine_phase::decode;
        traffic::apply(f.context.state.servers, "d", 1000, row);
        traffic::add(f.context.state.loads, "d", {2, 0.0, 9000.0});
    }

    static relay::refused_request refused(std::uint64_t digest) {
        relay::refused_request value;
        value.service = "llm";
        value.claim.digest = digest;
        value.claim.deadline_left = milliseconds(30000);
        value.cost = 3000.0;
        return value;
    }

    std::unique_ptr<relay::ticket> ask(std::uint64_t digest = 5) {
        return planner.request_return(
            refused(digest),
            [this](const relay::planned_return& planned) { got = planned; });
    }

    /// Asks and waits until the scheduler has been asked.
    std::uint64_t ask_scheduler() {
        const std::size_t before = sent.size();
        ticket = ask();
        f.run_until([&] { return sent.size() > before; });
        return std::get<return_request>(sent.back().value).number;
    }

    return_answer answer_to(std::uint64_t digest, bool again = false) {
        relay::refused_request asked = refused(digest);
        asked.claim.caller_retry = again;
        cr_assert(
            planner.receive("asker", encode(return_request{3, "", asked})));
        cr_assert(sent.back().host == "asker");
        const auto answer = std::get<return_answer>(sent.back().value);
        cr_assert(answer.number == 3);
        return answer;
    }

    /// @return the placement of a first try here.
    policy::placement place(std::uint64_t digest) {
        policy::placement_query query;
        query.service = "llm";
        query.kind = policy::placement_kind::decode;
        query.memory_tokens = 3000.0;
        query.claim = refused(digest).claim;
        policy::selection_inputs inputs = relay::make_selection_inputs(
            f.context, f.config.services.at("llm"));
        inputs.all_loads_known = true;
        return relay::place_here(f.context, inputs, query);
    }

    relay_fixture f;
    std::vector<std::string> hosts;
    bool knows_servers = true;
    std::deque<sent_datagram> sent;
    std::optional<relay::planned_return> got;
    std::unique_ptr<relay::ticket> ticket;
    remote_return_planner planner;
};

} // namespace

Test(remote_return_planner, time_of_scheduler_is_used) {
    planner_fixture b({"x"});
    const std::uint64_t number = b.ask_scheduler();
    cr_assert(!b.got && b.sent[0].host == "x");
    b.planner.receive(
        "x", encode(return_answer{number, true, milliseconds(800)}));
    cr_assert(b.got && b.got->planned_by == "x");
    cr_assert(b.got->decision.kind == policy::return_kind::promised);
    cr_assert(b.got->decision.retry_after == milliseconds(800));
}

Test(remote_return_planner, scheduler_itself_plans_without_messages) {
    planner_fixture b({"own"});
    b.ticket = b.ask();
    cr_assert(!b.got, "not before the call returns");
    b.f.run_until([&] { return b.got.has_value(); });
    cr_assert(b.sent.empty());
    cr_assert(b.got->planned_by == "own");
    cr_assert(b.got->decision.kind == policy::return_kind::promised);
}

/// Guards against instances that each promise the same capacity.
Test(remote_return_planner, one_schedule_serves_all_instances) {
    planner_fixture b({"own"});
    const return_answer first = b.answer_to(1);
    const return_answer second = b.answer_to(2);
    cr_assert(first.promised && second.promised);
    cr_assert(second.retry_after > first.retry_after + milliseconds(100));
    cr_assert(
        b.answer_to(1, true).retry_after <= first.retry_after, "told again");
}

/// Guards against a refusal that waits for a scheduler that was killed: the
/// caller is refused by the rule of its instance alone.
Test(remote_return_planner, silent_scheduler_delays_a_refusal_once_only) {
    planner_fixture b({"x"});
    const base::steady_time asked = b.f.owner.now();
    b.ask_scheduler();
    b.f.run_until([&] { return b.got.has_value(); });
    cr_assert(b.got->decision.kind == policy::return_kind::unknown);
    cr_assert(b.f.owner.now() - asked < milliseconds(300));
    cr_assert(b.sent.size() == 1);
    cr_assert(b.f.context.state.admissions.empty(), "promises nothing itself");
}

/// Guards against each refusal waiting for a scheduler of an earlier version,
/// and against promises of a host that does not place the requests.
Test(remote_return_planner, host_that_never_answered_is_left_alone) {
    planner_fixture b({"x", "y"});
    b.ask_scheduler();
    b.f.run_until([&] { return b.got.has_value(); });
    b.got.reset();
    b.ticket = b.ask();
    b.f.run_until([&] { return b.got.has_value(); });
    cr_assert(b.sent.size() == 1, "neither it nor another host is asked");
    cr_assert(b.got->decision.kind == policy::return_kind::unknown);
}

/// After two silences in a row a host that has answered before is not asked
/// again for a while.
Test(remote_return_planner, silent_host_is_not_asked_for_a_while) {
    planner_fixture b({"x", "y"});
    b.planner.receive(
        b.sent.empty() ? "x" : "y",
        encode(return_answer{99, true, milliseconds(1)}));
    const std::uint64_t number = b.ask_scheduler();
    const std::string host = b.sent[0].host;
    b.planner.receive(
        host, encode(return_answer{number, true, milliseconds(300)}));
    for (int i = 0; i < 2; ++i) {
        b.got.reset();
        b.ask_scheduler();
        b.f.run_until([&] { return b.got.has_value(); });
    }
    b.got.reset();
    b.ticket = b.ask();
    b.f.run_until([&] { return b.got.has_value(); });
    cr_assert(b.sent.size() == 3);
}

/// Guards against a single lost datagram that moves later promises to another
/// host, where the scheduler does not know them.
Test(remote_return_planner, one_lost_datagram_does_not_change_the_scheduler) {
    planner_fixture b({"x", "y"});
    const auto answer = [&b](std::uint64_t number) {
        b.planner.receive(
            b.sent[0].host,
            encode(return_answer{number, true, milliseconds(300)}));
    };
    answer(b.ask_scheduler());
    b.got.reset();
    b.ask_scheduler();
    b.f.run_until([&] { return b.got.has_value(); });
    answer(b.ask_scheduler());
    cr_assert(b.sent[2].host == b.sent[0].host);
    b.ask_scheduler();
    cr_assert(b.sent[3].host == b.sent[0].host);
}

/// A suspended scheduler answers after its resumption; the caller was told
/// another time, and a later answer must not end another refusal.
Test(remote_return_planner, late_and_foreign_answers_are_ignored) {
    planner_fixture b({"x"});
    const std::uint64_t number = b.ask_scheduler();
    const std::string answer =
        encode(return_answer{number, true, milliseconds(900)});
    cr_assert(b.planner.receive("other", answer) && !b.got);
    b.f.run_until([&] { return b.got.has_value(); });
    b.got.reset();
    cr_assert(b.planner.receive("x", answer));
    cr_assert(!b.got);
}

Test(remote_return_planner, cancelled_question_gets_no_answer) {
    planner_fixture b({"x"});
    const std::uint64_t number = b.ask_scheduler();
    b.ticket.reset();
    b.planner.receive(
        "x", encode(return_answer{number, true, milliseconds(900)}));
    cr_assert(!b.got);
}

/// Guards against an instance that has just started, or is cut off, and tells
/// callers of others that there is no capacity.
Test(remote_return_planner, scheduler_that_knows_nothing_says_so) {
    planner_fixture starting({"own"});
    starting.knows_servers = false;
    cr_assert(starting.answer_to(1).retry_after == milliseconds(0));
    planner_fixture alone({});
    alone.ticket = alone.ask();
    alone.f.run_until([&] { return alone.got.has_value(); });
    cr_assert(alone.got->decision.kind == policy::return_kind::unknown);
}

/// Two schedulers at the same time: a promise of one is an ordinary request at
/// the other, and is neither refused for it nor kept there.
Test(remote_return_planner, another_scheduler_does_not_know_the_promise) {
    planner_fixture one({"own"});
    planner_fixture two({"own"});
    const milliseconds told = one.answer_to(1).retry_after;
    cr_assert(two.answer_to(2).promised);
    // The engines of both have 5,000 tokens left when the callers return.
    const base::steady_time due = two.f.owner.now() + told;
    for (planner_fixture* b : {&one, &two}) {
        b->f.run_until([&] { return b->f.owner.now() >= due; });
        traffic::remove(b->f.context.state.loads, "d", {1, 0.0, 5000.0});
    }
    cr_assert(
        two.place(1).denial == policy::capacity_denial::reserved_for_returns);
    cr_assert(one.place(2).server.empty());
    cr_assert(!two.place(2).server.empty());
    cr_assert(!two.place(1).server.empty(), "nothing is kept any longer");
}

/// Guards against traffic and state while capacity is not shared.
Test(remote_return_planner, nothing_is_answered_while_capacity_is_not_shared) {
    planner_fixture off({"own"});
    off.f.context.state.capacity_sharing = false;
    cr_assert(off.planner.receive(
        "asker", encode(return_request{3, "", planner_fixture::refused(1)})));
    cr_assert(off.sent.empty());
    cr_assert(off.f.context.state.admissions.empty());
}
