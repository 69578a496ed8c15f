#include "relay_fixture.hpp"
#include <mintknot/relay/server_results.hpp>

#include <mintknot/policy/domain.hpp>
#include <mintknot/scheduling/messages.hpp>
#include <mintknot/scheduling/remote_placer.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <optional>

using namespace mintknot;
using namespace mintknot::scheduling;
using relay::tests::relay_fixture;

namespace {

struct sent_message {
    std::string host;
    message value;
};

/// A placer that records its datagrams, in a group of the given hosts.
struct placer_fixture {
    explicit placer_fixture(std::vector<std::string> all_hosts)
        : hosts(std::move(all_hosts))
        , placer(
              f.context,
              {"own",
               [this](const std::string& host, const std::string& datagram) {
                   auto value = decode(datagram);
                   cr_assert(value.ok());
                   sent.push_back({host, *std::move(value)});
               },
               [this](const std::string&) { return hosts; },
               [] { return true; }}) {}

    void add_engine(
        const std::string& id, traffic::engine_phase phase,
        const std::string& data_centre = "a") {
        traffic::server row;
        row.id = id;
        row.service = "llm";
        row.slots = 64;
        row.phase = phase;
        row.data_centre = data_centre;
        traffic::apply(f.context.state.servers, id, ++version, row);
    }

    std::unique_ptr<relay::placement_ticket> ask(double memory_tokens = 100.0) {
        policy::placement_query query;
        query.service = "llm";
        query.kind = policy::placement_kind::decode;
        query.memory_tokens = memory_tokens;
        return placer.request_placement(
            query, [this](const policy::placement& placed) { got = placed; });
    }

    /// @return the placer's answer to a request of another instance.
    policy::placement
    answer_to(double memory_tokens, const std::string& data_centre = "a") {
        placement_request request;
        request.number = 1;
        request.query.data_centre = data_centre;
        request.query.service = "llm";
        request.query.kind = policy::placement_kind::decode;
        request.query.memory_tokens = memory_tokens;
        placer.receive("asker", encode(request));
        const auto answer = std::get<placement_answer>(sent.back().value);
        cr_assert(sent.back().host == "asker" && answer.knows_service);
        return answer.placed;
    }

    relay_fixture f;
    std::vector<std::string> hosts;
    std::deque<sent_message> sent;
    std::optional<policy::placement> got;
    std::uint64_t version = 1000;
    remote_placer placer;
};

constexpr auto decode_phase = traffic::engine_phase::decode;

std::uint64_t number_of(const sent_message& asked) {
    return std::get<placement_request>(asked.value).number;
}

} // namespace

Test(remote_placer, answer_of_scheduler_is_used) {
    placer_fixture b({"x"});
    b.add_engine("d", decode_phase);
    const auto ticket = b.ask();
    cr_assert(!b.got);
    b.f.run_until([&] { return !b.sent.empty(); });
    cr_assert(b.sent[0].host == "x");
    b.placer.receive(
        "x",
        encode(placement_answer{number_of(b.sent[0]), true, {"d", "", 0}}));
    cr_assert(b.got && b.got->server == "d");
}

Test(remote_placer, own_domain_is_placed_without_messages) {
    placer_fixture b({"own"});
    b.add_engine("d", decode_phase);
    const auto ticket = b.ask();
    b.f.run_until([&] { return b.got.has_value(); });
    cr_assert(b.got->server == "d");
    cr_assert(b.sent.empty());
}

Test(remote_placer, silent_schedulers_are_skipped) {
    placer_fixture b({"x", "y", "z"});
    b.add_engine("d", decode_phase);
    auto ticket = b.ask();
    b.f.run_until([&] { return b.got.has_value(); });
    cr_assert(b.got->server == "d", "placed locally");
    cr_assert(b.sent.size() == 2);
    cr_assert(b.sent[0].host != b.sent[1].host);
    // The next request does not wait for them again.
    b.got.reset();
    ticket = b.ask();
    b.f.run_until([&] { return b.sent.size() == 3; });
    cr_assert(b.sent[2].host != b.sent[0].host);
    cr_assert(b.sent[2].host != b.sent[1].host);
}

Test(remote_placer, cancelled_request_gets_no_answer) {
    placer_fixture b({"x"});
    b.add_engine("d", decode_phase);
    auto ticket = b.ask();
    b.f.run_until([&] { return !b.sent.empty(); });
    ticket.reset();
    b.placer.receive(
        "x",
        encode(placement_answer{number_of(b.sent[0]), true, {"d", "", 0}}));
    cr_assert(!b.got);
    // The scheduler learns that nothing is in flight.
    b.f.run_until([&] { return b.sent.size() > 1; });
    cr_assert(b.sent[1].host == "x");
    cr_assert(std::get<load_report>(b.sent[1].value).loads.empty());
}

Test(remote_placer, scheduler_counts_its_own_placements) {
    placer_fixture b({"own"});
    b.add_engine("d1", decode_phase);
    b.add_engine("d2", decode_phase);
    const auto first = b.answer_to(6000.0);
    const auto second = b.answer_to(6000.0);
    cr_assert(!first.server.empty() && !second.server.empty());
    cr_assert(first.server != second.server);
    cr_assert(b.answer_to(6000.0).server.empty(), "both are full");
    // A report replaces the load that was counted.
    load_report report;
    report.loads[first.server] = {1, 0.0, 6000.0};
    b.placer.receive("asker", encode(report));
    cr_assert(b.answer_to(6000.0).server == second.server);
}

Test(remote_placer, scheduler_prefers_data_centre_of_requester) {
    placer_fixture b({"own"});
    b.f.context.options.data_centre = "a";
    b.add_engine("near", decode_phase, "a");
    b.add_engine("far", decode_phase, "b");
    cr_assert(b.answer_to(100.0, "b").server == "far");
    cr_assert(b.answer_to(100.0, "a").server == "near");
}

Test(remote_placer, full_data_centre_falls_back_to_next) {
    placer_fixture b({"x"});
    b.f.context.options.data_centre = "a";
    for (int i = 0; i < 13; ++i) {
        b.add_engine(fmt::format("a{}", i), decode_phase, "a");
        b.add_engine(fmt::format("b{}", i), decode_phase, "b");
    }
    const auto ticket = b.ask();
    b.f.run_until([&] { return !b.sent.empty(); });
    const auto& first = std::get<placement_request>(b.sent[0].value);
    cr_assert(first.data_centre == "a");
    b.placer.receive("x", encode(placement_answer{first.number, true, {}}));
    cr_assert(b.sent.size() == 2);
    const auto& second = std::get<placement_request>(b.sent[1].value);
    cr_assert(second.data_centre == "b");
    b.placer.receive("x", encode(placement_answer{second.number, true, {}}));
    cr_assert(b.got && b.got->server.empty(), "no capacity anywhere");
}

Test(remote_placer, locally_avoided_servers_are_excluded) {
    placer_fixture b({"x"});
    for (const char* id : {"d1", "d2", "d3"})
        b.add_engine(id, decode_phase);
    policy::note_call_result(
        b.f.context.state.health, "d2", policy::call_result::unreachable,
        b.f.owner.now());
    const auto ticket = b.ask();
    b.f.run_until([&] { return !b.sent.empty(); });
    const auto& asked = std::get<placement_request>(b.sent[0].value);
    cr_assert(asked.query.excluded == policy::excluded_servers{"d2"});
}

namespace {

/// @return the destination host of each load report.
std::vector<std::string> reported_to(const placer_fixture& b) {
    std::vector<std::string> hosts;
    for (const sent_message& message : b.sent)
        if (std::holds_alternative<load_report>(message.value))
            hosts.push_back(message.host);
    return hosts;
}

} // namespace

Test(remote_placer, standby_gets_reports_less_often) {
    placer_fixture b({"x", "y", "z"});
    b.add_engine("d", decode_phase);
    b.f.context.state.on_load_change = [&] { b.placer.loads_changed(); };
    relay::add_load(b.f.context, "d", {2, 0.0, 200.0});
    relay::remove_load(b.f.context, "d", {1, 0.0, 100.0});
    b.f.run_until([&] { return reported_to(b).size() == 2; });
    const auto both = policy::schedulers_of({"llm", ""}, b.hosts);
    load_report last;
    relay::add_load(b.f.context, "d", {2, 0.0, 200.0});
    relay::remove_load(b.f.context, "d", {1, 0.0, 100.0});
    b.f.run_until([&] { return reported_to(b).size() == 3; });
    cr_assert(reported_to(b).back() == both.active);
    const auto to_standby = [&] {
        const std::vector<std::string> hosts = reported_to(b);
        return std::count(hosts.begin(), hosts.end(), both.standby);
    };
    cr_assert(to_standby() == 1);
    b.f.run_until([&] { return to_standby() == 2; });
    for (const sent_message& message : b.sent)
        if (message.host == both.standby)
            last = std::get<load_report>(message.value);
    cr_assert(last.loads.at("d").calls == 2);
}

Test(remote_placer, standby_knows_load_in_flight) {
    placer_fixture asker({"x", "y"});
    const auto both = policy::schedulers_of({"llm", ""}, asker.hosts);
    placer_fixture standby({"own"});
    for (placer_fixture* each : {&asker, &standby}) {
        each->add_engine("d1", decode_phase);
        each->add_engine("d2", decode_phase);
    }
    asker.f.context.state.on_load_added = [&] { asker.placer.loads_added(); };
    relay::add_load(asker.f.context, "d1", {1, 0.0, 6000.0});
    asker.f.run_until([&] { return reported_to(asker).size() == 2; });
    for (const sent_message& message : asker.sent)
        if (message.host == both.standby)
            standby.placer.receive("asker", encode(message.value));
    cr_assert(standby.answer_to(6000.0).server == "d2");
    cr_assert(standby.answer_to(6000.0).server.empty(), "both are full");
}

Test(remote_placer, scheduler_placement_is_not_reported_at_once) {
    placer_fixture b({"x"});
    b.add_engine("d", decode_phase);
    b.f.context.state.on_load_change = [&] { b.placer.loads_changed(); };
    b.f.context.state.on_load_added = [&] { b.placer.loads_added(); };
    const auto ticket = b.ask();
    b.f.run_until([&] { return !b.sent.empty(); });
    b.placer.receive(
        "x",
        encode(placement_answer{number_of(b.sent[0]), true, {"d", "", 0}}));
    relay::add_load(b.f.context, "d", {1, 0.0, 100.0});
    const auto until = b.f.owner.now() + base::milliseconds(150);
    b.f.run_until([&] { return b.f.owner.now() > until; });
    cr_assert(b.sent.size() == 1, "only the question");
    relay::remove_load(b.f.context, "d", {1, 0.0, 100.0});
    b.f.run_until([&] { return b.sent.size() == 2; });
    cr_assert(std::get<load_report>(b.sent[1].value).loads.empty());
}

Test(remote_placer, local_placement_is_reported_promptly) {
    placer_fixture b({"x", "y", "z"});
    b.add_engine("d", decode_phase);
    b.f.context.state.on_load_added = [&] { b.placer.loads_added(); };
    const auto ticket = b.ask();
    // Two schedulers are silent.
    b.f.run_until([&] { return b.got.has_value(); });
    const auto placed = b.f.owner.now();
    relay::add_load(b.f.context, "d", {1, 0.0, 100.0});
    b.f.run_until([&] { return !reported_to(b).empty(); });
    cr_assert(b.f.owner.now() - placed < base::milliseconds(400));
}

namespace {

/// @return an answer that contains the row of an engine.
std::string
answer_with_server(const sent_message& asked, const std::string& id) {
    placement_answer answer{number_of(asked), true, {id, "", 0}};
    traffic::server engine;
    engine.id = id;
    engine.service = "llm";
    engine.data_centre = "a";
    engine.phase = decode_phase;
    answer.servers = {{engine, 7}};
    return encode(answer);
}

} // namespace

Test(remote_placer, without_rows_answer_provides_server) {
    placer_fixture b({"x"});
    traffic::become_partial(b.f.context.state.servers);
    const auto ticket = b.ask();
    b.f.run_until([&] { return !b.sent.empty(); });
    const auto& asked = std::get<placement_request>(b.sent[0].value);
    cr_assert(asked.wants_server_rows);
    cr_assert(asked.data_centre == b.f.context.options.data_centre);
    b.placer.receive("x", answer_with_server(b.sent[0], "d"));
    cr_assert(b.got && b.got->server == "d");
    cr_assert(traffic::find(b.f.context.state.servers, "d") != nullptr);
    cr_assert(traffic::open_servers(b.f.context.state.servers, "llm").empty());
}

Test(remote_placer, without_rows_next_scheduler_is_asked) {
    placer_fixture b({"x", "y"});
    traffic::become_partial(b.f.context.state.servers);
    const auto ticket = b.ask();
    b.f.run_until([&] { return !b.sent.empty(); });
    placement_answer unknown;
    unknown.number = number_of(b.sent[0]);
    b.placer.receive(b.sent[0].host, encode(unknown));
    b.f.run_until([&] { return b.sent.size() > 1; });
    cr_assert(b.sent[1].host != b.sent[0].host);
    b.placer.receive(b.sent[1].host, answer_with_server(b.sent[1], "d"));
    cr_assert(b.got && b.got->server == "d");
}

Test(remote_placer, without_rows_full_data_centre_falls_back_to_all) {
    placer_fixture b({"x"});
    traffic::become_partial(b.f.context.state.servers);
    const auto ticket = b.ask();
    b.f.run_until([&] { return !b.sent.empty(); });
    b.placer.receive(
        "x", encode(placement_answer{number_of(b.sent[0]), true, {}}));
    b.f.run_until([&] { return b.sent.size() > 1; });
    const auto& second = std::get<placement_request>(b.sent[1].value);
    cr_assert(second.data_centre.empty());
}

Test(remote_placer, answer_includes_rows_when_requested) {
    placer_fixture b({"own"});
    b.add_engine("d", decode_phase);
    placement_request request;
    request.number = 1;
    request.wants_server_rows = true;
    request.query.service = "llm";
    request.query.kind = policy::placement_kind::decode;
    b.placer.receive("leaf", encode(request));
    const auto answer = std::get<placement_answer>(b.sent.back().value);
    cr_assert(answer.servers.size() == 1);
    cr_assert(answer.servers[0].value.id == "d");
    cr_assert(answer.servers[0].version == b.version);
}

namespace {

/// Adds a plain server with two slots to the service `app`.
void add_plain(placer_fixture& b, const std::string& id) {
    traffic::server row;
    row.id = id;
    row.service = "app";
    row.slots = 2;
    row.data_centre = "a";
    traffic::apply(b.f.context.state.servers, id, ++b.version, row);
}

/// @return the scheduler's answer to a plain call with a target of 300 ms.
policy::placement answer_to_plain(placer_fixture& b) {
    placement_request request;
    request.number = 1;
    request.query.service = "app";
    request.query.data_centre = "a";
    request.query.claim.emplace().target_left = base::milliseconds(300);
    b.placer.receive("asker", encode(request));
    return std::get<placement_answer>(b.sent.back().value).placed;
}

/// Makes the instance one that has been a scheduler for a while, and so knows
/// what is in flight.
void settle(placer_fixture& b) {
    auto& plain = b.f.context.state.admissions[{"app", ""}].plain;
    plain.began = b.f.owner.now() - std::chrono::seconds(2);
    plain.last_call = b.f.owner.now();
}

load_report report_of(int calls, int rejected) {
    load_report report;
    report.loads["i"] = {calls, 0.0, 0.0};
    report.results["i"] = {8, 0, rejected};
    report.call_times["i"] = {8, 480.0, 0.0};
    return report;
}

} // namespace

// Guards against a scheduler that does not use the times that instances report:
// with the default of 50 ms it would send more calls.
Test(remote_placer, scheduler_denies_calls_by_reported_times) {
    placer_fixture b({"own"});
    b.f.context.state.capacity_sharing = true;
    add_plain(b, "i");
    settle(b);
    b.placer.receive("asker", encode(report_of(2, 0)));
    int sent = 0;
    policy::placement last;
    while ((last = answer_to_plain(b)).denial == policy::capacity_denial::none)
        cr_assert(++sent < 100);
    cr_assert(last.denial == policy::capacity_denial::late);
    cr_assert(last.server.empty() && last.expected_wait);
    cr_assert(last.plain->service == base::milliseconds(60));
    // Of 300 ms, 60 ms are for the slot, and each call ahead takes 30 ms.
    cr_assert(sent == 8, "%d", sent);
}

// Guards against calls that go on to a server which rejects them as full.
Test(remote_placer, scheduler_limits_a_server_by_reported_rejections) {
    placer_fixture b({"own"});
    b.f.context.state.capacity_sharing = true;
    add_plain(b, "i");
    settle(b);
    b.placer.receive("asker", encode(report_of(2, 0)));
    cr_assert(answer_to_plain(b).server == "i", "the queue seems free");
    b.placer.receive("asker", encode(report_of(3, 2)));
    const policy::placement denied = answer_to_plain(b);
    cr_assert(denied.denial == policy::capacity_denial::no_capacity);
}

// Guards against a change of decisions where capacity is not shared.
Test(remote_placer, observations_are_ignored_unless_capacity_is_shared) {
    placer_fixture b({"own"});
    add_plain(b, "i");
    b.placer.receive("asker", encode(report_of(2, 2)));
    cr_assert(b.f.context.state.plain_times.by_id.empty());
}

// Guards against times that reach no scheduler, or are sent where capacity is
// not shared.
Test(
    remote_placer, times_of_plain_calls_are_reported_while_capacity_is_shared) {
    for (const bool shared : {true, false}) {
        placer_fixture b({"x"});
        b.f.context.state.capacity_sharing = shared;
        b.f.context.state.on_load_change = [&] { b.placer.loads_changed(); };
        add_plain(b, "i");
        relay::add_load(b.f.context, "i", {2, 0.0, 0.0});
        policy::note_call_time(
            b.f.context.state.plain_times, "i", base::milliseconds(90), 1, 2,
            b.f.owner.now());
        relay::remove_load(b.f.context, "i", {1, 0.0, 0.0});
        b.f.run_until([&] { return !b.sent.empty(); });
        const auto& report = std::get<load_report>(b.sent.at(0).value);
        cr_assert(report.call_times.size() == (shared ? 1 : 0));
        // Half of the time that the slots took was spent in the queue.
        cr_assert(!shared || report.call_times.at("i").slot_ms == 60.0);
    }
}

// Guards against a call that is sent in spite of its denial, because plain
// servers of other data centres are asked for a free slot first.
Test(remote_placer, a_denial_by_all_data_centres_is_final) {
    placer_fixture b({"x"});
    b.f.context.options.data_centre = "a";
    b.f.context.state.capacity_sharing = true;
    for (int i = 0; i < 13; ++i)
        for (const char* place : {"a", "b"}) {
            traffic::server row;
            row.id = fmt::format("{}{}", place, i);
            row.service = "app";
            row.data_centre = place;
            traffic::apply(b.f.context.state.servers, row.id, ++b.version, row);
        }
    policy::placement_query query;
    query.service = "app";
    query.claim.emplace();
    const auto ticket = b.placer.request_placement(
        query, [&](const policy::placement& placed) { b.got = placed; });
    placement_answer denied{0, true, {}};
    denied.placed.denial = policy::capacity_denial::late;
    for (std::size_t domain = 0; domain < 2; ++domain) {
        denied.placed.expected_wait = base::milliseconds(domain == 0 ? 90 : 40);
        b.f.run_until([&] { return b.sent.size() > domain; });
        denied.number = number_of(b.sent.at(domain));
        b.placer.receive("x", encode(denied));
    }
    cr_assert(b.got && b.got->server.empty());
    cr_assert(b.got->denial == policy::capacity_denial::late);
    cr_assert(b.got->expected_wait == base::milliseconds(40), "the shortest");
}

// Guards against calls that a scheduler counts for 1.5 s after their end,
// because the only report of it was lost.
Test(remote_placer, an_empty_report_is_repeated_while_capacity_is_shared) {
    for (const bool shared : {true, false}) {
        placer_fixture b({"x"});
        b.f.context.state.capacity_sharing = shared;
        b.f.context.state.on_load_change = [&] { b.placer.loads_changed(); };
        b.f.context.state.on_load_added = [&] { b.placer.loads_added(); };
        add_plain(b, "i");
        relay::add_load(b.f.context, "i", {1, 0.0, 0.0});
        b.f.run_until([&] { return !b.sent.empty(); });
        relay::remove_load(b.f.context, "i", {1, 0.0, 0.0});
        b.f.run_until([&] { return b.sent.size() == 2; });
        const auto until = b.f.owner.now() + base::milliseconds(1200);
        b.f.run_until([&] { return b.f.owner.now() > until; });
        cr_assert(b.sent.size() == (shared ? 3 : 2));
        cr_assert(std::get<load_report>(b.sent.back().value).loads.empty());
    }
}
