#include <mintknot/crashes/crash_watch.hpp>

#include "crash_messages.hpp"
#include "relay_fixture.hpp"

#include <mintknot/relay/request_digest.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <list>
#include <map>

using namespace mintknot;
using namespace mintknot::crashes;
using namespace mintknot::relay::tests;

namespace {

constexpr base::milliseconds crash_time{20};
constexpr auto plain = traffic::engine_phase::none;
constexpr auto prefill = traffic::engine_phase::prefill;
constexpr auto decode = traffic::engine_phase::decode;

/// A router with a crash_watch whose datagrams are recorded.
struct crash_watch_fixture : relay_fixture {
    crash_watch_fixture()
        : watch(
              context,
              {"self",
               [this](const std::string& host, const std::string& datagram) {
                   sent[host].push_back(datagram);
               },
               [] {
                   return std::vector<std::string>{"self", "evaluator"};
               },
               [] {
                   return std::vector<std::string>{"evaluator", "peer"};
               },
               [] { return std::vector<std::string>{"leaf"}; },
               [this](const std::string& id) {
                   return health_check_for(id);
               }}) {
        context.crashes = &watch;
    }

    std::optional<relay::health_check> health_check_for(const std::string& id) {
        const traffic::server* server =
            traffic::find(context.state.servers, id);
        if (server == nullptr)
            return std::nullopt;
        return relay::health_check{{id, server->where}, "/health", {}};
    }

    void run_for(base::milliseconds time) {
        event::timer wait(owner);
        bool over = false;
        wait.start(time, [&] { over = true; });
        run_until([&] { return over; });
    }

    /// Receives a peer's reports of three crashes, one second apart.
    void receive_reports(const std::string& digest) {
        base::milliseconds ago{3000};
        for (const char* incarnation : {"s/0", "t/0", "u/0"}) {
            const broken_run run{{digest, 2}, base::milliseconds(7), ago};
            watch.receive("peer", encode(crash_report{incarnation, {run}}));
            ago -= base::milliseconds(1000);
        }
    }

    /// Adds a server that ends while it runs a request whose target ends in
    /// /crash; `good` answers other requests.
    scripted_server& add_crashing_server(
        const std::string& id, const std::string& service,
        traffic::engine_phase phase, script good) {
        scripted_server& server = add_server(id, service, phase, {});
        server.behaviour = [this, &server, good = std::move(good)](
                               const received_request& to,
                               const event::connection_ptr& link) {
            if (!to.head.target.ends_with("/crash")) {
                good(to, link);
                return;
            }
            timers.emplace_back(owner).start(crash_time, [&, link] {
                ++crashes;
                server.stop();
                link->reset();
            });
        };
        return server;
    }

    /// @return the first message of this type that was sent to a host.
    template<typename Message>
    std::optional<Message> sent_to(const std::string& host) const {
        const auto found = sent.find(host);
        if (found == sent.end())
            return std::nullopt;
        for (const std::string& datagram : found->second) {
            const auto value = decode_crash_message(datagram);
            if (value.ok() && std::holds_alternative<Message>(*value))
                return std::get<Message>(*value);
        }
        return std::nullopt;
    }

    std::map<std::string, std::vector<std::string>> sent;
    int crashes = 0;
    std::list<event::timer> timers;
    crash_watch watch;
};

script ok() {
    return [](const received_request& to, const event::connection_ptr& link) {
        link->write(answer_to(to, "ok"));
    };
}

std::string crashing(const std::string& route, int number) {
    return request("/" + route + "/crash", fmt::format("Id: c{}\r\n", number));
}

relay::request_identity identity(const std::string& digest) {
    return {2, [digest] { return digest; }};
}

} // namespace

Test(crash_watch, crashing_request_is_refused_by_the_fourth_try) {
    for (const char* route : {"unsafe", "stream", "resume"}) {
        crash_watch_fixture f;
        for (int i = 0; i < 8; ++i) {
            f.add_crashing_server(fmt::format("app{}", i), "app", plain, ok());
            f.add_crashing_server(
                fmt::format("d{}", i), "llm", decode, good_decode());
        }
        int tries = 0;
        while (f.watch.blocked() == 0) {
            cr_assert(++tries <= 4);
            cr_assert(f.ask(crashing(route, tries)).status != 503);
            const std::size_t ended = static_cast<std::size_t>(f.crashes);
            f.run_until([&] {
                return f.watch.servers_ended() == ended &&
                       (ended < 3 || f.watch.blocked() == 1);
            });
        }
        cr_assert(f.crashes <= 4);
        const int before = f.crashes;
        const caller_view seen = f.ask(crashing(route, 9));
        cr_assert(seen.status == 503);
        cr_assert(seen.body == "crashes_servers\n");
        cr_assert(!seen.field("Retry-After").empty());
        cr_assert(f.crashes == before);
        cr_assert(
            f.ask(request(std::string("/") + route + "/fine")).status == 200);
    }
}

Test(crash_watch, lost_connection_to_live_server_blocks_nothing) {
    crash_watch_fixture f;
    const script resetting = [](const received_request& to,
                                const event::connection_ptr& link) {
        if (to.head.target == "/health")
            link->write(answer_to(to, "ok"));
        else
            link->reset();
    };
    f.add_server("s", "app", plain, resetting);
    for (int i = 0; i < 5; ++i)
        cr_assert(f.ask(crashing("unsafe", i)).status == 502);
    f.run_for(base::milliseconds(600));
    cr_assert(f.watch.servers_ended() == 0);
    cr_assert(f.sent.empty());
}

Test(crash_watch, end_of_draining_server_is_not_a_crash) {
    crash_watch_fixture f;
    f.add_crashing_server("s", "app", plain, ok());
    traffic::server leaving = *traffic::find(f.context.state.servers, "s");
    leaving.draining = true;
    traffic::apply(f.context.state.servers, "s", 100, leaving);
    f.watch.report_broken_call(identity("d"), {"s", base::milliseconds(5)});
    f.run_for(base::milliseconds(400));
    cr_assert(f.watch.servers_ended() == 0);
}

Test(crash_watch, immediate_restart_is_detected_by_replaced_row) {
    crash_watch_fixture f;
    f.add_server("s", "app", plain, ok());
    f.watch.report_broken_call(identity("d"), {"s", base::milliseconds(5)});
    f.run_for(base::milliseconds(300));
    cr_assert(f.watch.servers_ended() == 0);
    f.watch.server_replaced("s");
    cr_assert(f.watch.servers_ended() == 1);
    cr_assert(
        f.sent_to<crash_report>("evaluator")->runs.at(0).key.digest == "d");
}

// Guards against blame for the end of servers that ended before this instance
// started, or while it was suspended.
Test(crash_watch, runs_after_an_interruption_are_doubtful) {
    crash_watch_fixture f;
    f.watch.note_interruption({base::steady_time::min(), f.owner.now()});
    for (const char* server : {"s", "t", "u"}) {
        f.add_dead_server(server, "app");
        const std::size_t before = f.watch.servers_ended();
        f.watch.report_broken_call(
            identity("d"), {server, base::milliseconds(8)});
        f.run_until([&] { return f.watch.servers_ended() == before + 1; });
    }
    cr_assert(
        f.sent_to<crash_report>("evaluator")->runs.at(0).liveness ==
        policy::server_liveness::doubtful);
    f.run_for(2 * policy::crash_report_time);
    cr_assert(f.watch.blocked() == 0);
}

Test(crash_watch, evaluators_get_reports_and_all_hosts_get_blocks) {
    crash_watch_fixture f;
    f.add_dead_server("s", "app");
    f.watch.report_broken_call(identity("d"), {"s", base::milliseconds(5)});
    f.run_until([&] { return f.watch.servers_ended() == 1; });
    cr_assert(
        f.sent_to<crash_report>("evaluator")->server_incarnation == "s/0");
    cr_assert(!f.sent_to<crash_report>("peer"));
    base::milliseconds ago{0};
    for (const char* incarnation : {"t/0", "u/0"}) {
        ago += base::milliseconds(1000);
        const broken_run run{{"d", 2}, base::milliseconds(7), ago};
        f.watch.receive("peer", encode(crash_report{incarnation, {run}}));
    }
    f.run_until([&] { return f.watch.blocked() == 1; });
    for (const char* host : {"evaluator", "peer", "leaf"})
        cr_assert(
            f.sent_to<block_announcement>(host)->blocks.at(0).key.digest ==
            "d");
    cr_assert(f.watch.find_block(identity("d")).has_value());
    cr_assert(!f.watch.find_block(identity("e")));
}

Test(crash_watch, received_block_is_forwarded_and_resent) {
    crash_watch_fixture f;
    const std::string announcement =
        encode(block_announcement{{{{"d", 2}, base::milliseconds(60000), 1}}});
    f.watch.receive("evaluator", announcement);
    cr_assert(f.watch.blocked() == 1);
    cr_assert(f.sent_to<block_announcement>("leaf").has_value());
    f.run_until(
        [&] { return f.sent_to<block_announcement>("peer").has_value(); });
}

Test(crash_watch, complete_answer_unblocks_request_everywhere) {
    crash_watch_fixture f;
    const std::string announcement =
        encode(block_announcement{{{{"d", 2}, base::milliseconds(60000), 1}}});
    f.watch.receive("evaluator", announcement);
    f.watch.report_answer(identity("d"));
    cr_assert(f.watch.blocked() == 0);
    for (const char* host : {"evaluator", "peer", "leaf"})
        cr_assert(f.sent_to<clear_announcement>(host)->digest == "d");
    f.watch.receive("evaluator", announcement);
    cr_assert(f.watch.blocked() == 0);
}

// Guards against reports that are sent again, or come late, and count after the
// answer that has cleared their request.
Test(crash_watch, repeated_reports_do_not_undo_a_clearing) {
    crash_watch_fixture f;
    f.receive_reports("d");
    f.watch.receive("peer", encode(clear_announcement{"d"}));
    f.receive_reports("d");
    f.run_for(2 * policy::crash_report_time);
    cr_assert(f.watch.blocked() == 0);
}

// Guards against a report that is sent after its request was answered, as the
// servers were checked meanwhile.
Test(crash_watch, answer_during_the_check_of_servers_clears_request) {
    crash_watch_fixture f;
    for (const char* server : {"s", "t", "u"}) {
        f.add_dead_server(server, "app");
        f.watch.report_broken_call(
            identity("d"), {server, base::milliseconds(8)});
    }
    f.watch.report_answer(identity("d"));
    f.run_until([&] { return f.watch.servers_ended() == 3; });
    f.run_for(2 * policy::crash_report_time);
    cr_assert(f.watch.blocked() == 0);
    cr_assert(f.sent_to<clear_announcement>("evaluator")->digest == "d");
}

// Guards against instances that go on refusing a request because only the one
// that announced its block has heard that it was cleared.
Test(crash_watch, announced_block_is_cleared_where_it_was_announced) {
    crash_watch_fixture f;
    f.receive_reports("d");
    f.run_until([&] { return f.watch.blocked() == 1; });
    f.watch.receive("evaluator", encode(clear_announcement{"d"}));
    cr_assert(f.watch.blocked() == 0);
    for (const char* host : {"evaluator", "peer", "leaf"})
        cr_assert(f.sent_to<clear_announcement>(host).has_value());
}

Test(crash_watch, waiting_request_is_refused_once_blocked) {
    crash_watch_fixture f;
    f.add_crashing_server("d1", "llm", decode, good_decode());
    f.add_server(
        "p1", "llm", prefill,
        [&](const received_request& to, const event::connection_ptr& link) {
            const auto digest = relay::request_digest("", to.head, to.body);
            f.watch.receive(
                "evaluator",
                encode(block_announcement{
                    {{{digest, 2}, base::milliseconds(60000), 1}}}));
            link->write(answer_to(to, "handle k"));
        });
    const caller_view seen =
        f.ask(request("/stream/crash", "Id: c\r\nTokens: 9\r\n"));
    cr_assert(seen.status == 503);
    cr_assert(seen.body == "crashes_servers\n");
    cr_assert(f.crashes == 0);
}
