#include "relay_fixture.hpp"

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
