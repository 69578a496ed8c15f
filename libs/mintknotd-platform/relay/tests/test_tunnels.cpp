#include "relay_fixture.hpp"

#include <mintknot/relay/local_server.hpp>
#include <mintknot/relay/server_connector.hpp>
#include <mintknot/relay/server_results.hpp>
#include <mintknot/relay/tunnel_server.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::relay;
using namespace mintknot::relay::tests;

namespace {

constexpr base::milliseconds timeout{200};

/// A router whose peer is itself: at the peer's side, the row of the server
/// leads to where it really is.
struct tunnel_fixture : relay_fixture {
    tunnel_fixture()
        : peer_server(
              owner,
              [](const http1::request_head&, const local_reply& reply) {
                  reply({404, "text/plain", "unknown path\n"});
              },
              [this](
                  const http1::request_head& head, event::connection_ptr link) {
                  ++tunnels_asked;
                  on_tunnel(head, std::move(link));
              }) {
        cr_assert(peer_server.open({"127.0.0.1", 0}).ok());
    }

    upstream::connect_outcome
    connect(const std::string& id, bool directly = false) {
        server_connector connector(
            context, {[this] { return peers; }, peer_server.port()});
        std::optional<upstream::connect_outcome> outcome;
        connector.connect(
            {id, traffic::find(context.state.servers, id)->where, "r",
             directly},
            timeout, [&](upstream::connect_outcome result) {
                outcome = std::move(result);
            });
        run_until([&] { return outcome.has_value(); });
        return std::move(*outcome);
    }

    std::function<void(const http1::request_head&, event::connection_ptr)>
        on_tunnel =
            [](const http1::request_head&, const event::connection_ptr& link) {
                link->write("HTTP/1.1 200 OK\r\n\r\n");
            };
    local_server peer_server;
    std::vector<policy::tunnel_peer> peers = {{"127.0.0.1", true}};
    int tunnels_asked = 0;
};

void refuse(const event::connection_ptr& link, const std::string& status) {
    link->write("HTTP/1.1 " + status + " No\r\nContent-Length: 0\r\n\r\n");
    link->close();
}

/// Bytes that a connection has received, and how it has ended.
struct received {
    std::string bytes;
    std::optional<event::connection_end> end;
};

} // namespace

Test(tunnels, a_server_that_refuses_here_is_reached_through_a_peer) {
    tunnel_fixture f;
    f.add_dead_server("s1", "app");
    const auto outcome = f.connect("s1");
    cr_assert(outcome.link != nullptr);
    cr_assert(outcome.tunnelled);
    cr_assert_eq(f.tunnels_asked, 1);
}

Test(tunnels, a_call_that_must_come_from_here_takes_no_tunnel) {
    tunnel_fixture f;
    f.add_dead_server("s1", "app");
    cr_assert(f.connect("s1", true).link == nullptr);
    cr_assert_eq(f.tunnels_asked, 0);
}

Test(tunnels, a_server_in_reach_needs_no_peer) {
    tunnel_fixture f;
    f.add_server("s1", "app", traffic::engine_phase::none, {});
    const auto outcome = f.connect("s1");
    cr_assert(outcome.link != nullptr);
    cr_assert(!outcome.tunnelled);
    cr_assert_eq(f.tunnels_asked, 0);
}

Test(tunnels, a_server_has_ended_only_if_a_peer_is_refused_too) {
    tunnel_fixture f;
    f.add_dead_server("s1", "app");
    f.on_tunnel = [](const auto&, const event::connection_ptr& link) {
        refuse(link, "502");
    };
    cr_assert(f.connect("s1").result == event::connect_result::refused);
    f.on_tunnel = [](const auto&, const event::connection_ptr& link) {
        refuse(link, "503");
    };
    cr_assert(f.connect("s1").result == event::connect_result::unreachable);
    f.peers.clear();
    cr_assert(f.connect("s1").result == event::connect_result::refused);
}

Test(tunnels, a_peer_of_an_earlier_version_has_no_path) {
    tunnel_fixture f;
    f.add_dead_server("s1", "app");
    f.on_tunnel = [](const auto&, const event::connection_ptr& link) {
        refuse(link, "404");
    };
    cr_assert(f.connect("s1").link == nullptr);
    cr_assert(f.context.state.paths.peers.contains("127.0.0.1"));
}

namespace {

/// A tunnel server that a raw connection talks to.
struct served_tunnel : tunnel_fixture {
    served_tunnel()
        : connector(
              context, {[] { return std::vector<policy::tunnel_peer>{}; }, 0})
        , server(context, connector) {
        on_tunnel = [this](
                        const http1::request_head& head,
                        const event::connection_ptr& accepted) {
            peers_link = accepted;
            server.serve(head, accepted);
        };
    }

    /// Closes the socket, as the system does for a process that has ended.
    void end_peer() { peers_link->abort(); }

    void open(const std::string& id) {
        event::connect(
            owner, {"127.0.0.1", peer_server.port()}, timeout,
            [this, id](event::connection_ptr opened, event::connect_result) {
                link = std::move(opened);
                link->set_handlers(
                    {[this](std::string_view bytes) {
                         seen.bytes.append(bytes);
                     },
                     [this](event::connection_end how) { seen.end = how; },
                     nullptr});
                link->write("CONNECT " + id + " HTTP/1.1\r\nHost: x\r\n\r\n");
            });
        run_until([this] {
            return seen.bytes.find("\r\n\r\n") != std::string::npos;
        });
    }

    server_connector connector;
    tunnel_server server;
    event::connection_ptr link;
    event::connection_ptr peers_link; ///< The same at the peer's side.
    received seen;
};

} // namespace

Test(tunnels, bytes_pass_both_ways_until_the_server_ends) {
    served_tunnel f;
    f.add_server(
        "s1", "app", traffic::engine_phase::none,
        [](const received_request& request, const event::connection_ptr& link) {
            link->write("got " + request.body);
            link->close();
        });
    f.open("s1");
    cr_assert(f.seen.bytes.starts_with("HTTP/1.1 200"));
    f.link->write(
        "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello");
    f.run_until([&] { return f.seen.end.has_value(); });
    cr_assert(f.seen.bytes.ends_with("got hello"));
    cr_assert(*f.seen.end == event::connection_end::orderly);
    cr_assert_eq(f.server.open(), 0U);
}

Test(tunnels, a_reset_server_does_not_look_like_the_end_of_an_answer) {
    served_tunnel f;
    f.add_server(
        "s1", "app", traffic::engine_phase::none,
        [](const received_request&, const event::connection_ptr& link) {
            link->reset();
        });
    f.open("s1");
    f.link->write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    f.run_until([&] { return f.seen.end.has_value(); });
    cr_assert(*f.seen.end == event::connection_end::broken);
}

// A reset under an upload looked like the end of an answer.
Test(tunnels, a_reset_under_an_upload_is_no_end_of_an_answer) {
    served_tunnel f;
    event::timer later(f.owner);
    event::connection_ptr accepted;
    event::listener raw(f.owner);
    cr_assert(raw.open(
                     {"127.0.0.1", 0},
                     [&](const event::connection_ptr& opened) {
                         accepted = opened;
                         accepted->write("half");
                         later.start(base::milliseconds(50), [&] {
                             accepted->reset();
                         });
                     })
                  .ok());
    f.add_server("s1", "app", traffic::engine_phase::none, {});
    traffic::server row = *traffic::find(f.context.state.servers, "s1");
    row.where.port = raw.port();
    traffic::apply(f.context.state.servers, "s1", 1000, row);
    f.open("s1");
    f.link->write(std::string(16 * 1024 * 1024, 'x'));
    f.run_until([&] { return f.seen.end.has_value(); });
    cr_assert(*f.seen.end == event::connection_end::broken);
}

// What the system does for a killed peer looked like the end of an answer.
Test(tunnels, the_end_of_a_peer_does_not_look_like_the_end_of_an_answer) {
    served_tunnel f;
    f.add_server(
        "s1", "app", traffic::engine_phase::none,
        [](const received_request&, const event::connection_ptr& link) {
            link->write("half");
        });
    f.open("s1");
    f.link->write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    f.run_until([&] { return f.seen.bytes.ends_with("half"); });
    f.end_peer();
    f.run_until([&] { return f.seen.end.has_value(); });
    cr_assert(*f.seen.end == event::connection_end::broken);
}

Test(tunnels, a_peer_that_leaves_frees_the_server) {
    served_tunnel f;
    scripted_server& server = f.add_server(
        "s1", "app", traffic::engine_phase::none,
        [](const received_request&, const event::connection_ptr&) {});
    f.open("s1");
    f.link->write("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    f.run_until([&] { return server.requests.size() == 1; });
    f.link->reset();
    f.run_until([&] { return server.closed_connections == 1; });
    cr_assert_eq(f.server.open(), 0U);
}

Test(tunnels, a_stopping_instance_takes_none) {
    served_tunnel f;
    f.add_server("s1", "app", traffic::engine_phase::none, {});
    f.context.state.stopping = true;
    f.open("s1");
    cr_assert(f.seen.bytes.starts_with("HTTP/1.1 503"));
}

Test(tunnels, a_server_that_leaves_is_not_reached) {
    served_tunnel f;
    f.add_server("s1", "app", traffic::engine_phase::none, {});
    traffic::note_leaving(f.context.state.servers, "s1");
    f.open("s1");
    cr_assert(f.seen.bytes.starts_with("HTTP/1.1 504"));
}

Test(tunnels, peers_are_not_warned_of_what_only_this_instance_loses) {
    relay_fixture f;
    const base::steady_time now = f.owner.now();
    for (const std::string id : {"s1", "s2", "s3"})
        note_call_result(f.context, id, policy::call_result::unreachable, "r");
    cr_assert_eq(warnings_for_peers(f.context).size(), 3U);
    policy::note_direct_failure(f.context.state.paths, "s1", now);
    policy::note_tunnel_success(f.context.state.paths, "s1", "peer", now);
    const auto warnings = warnings_for_peers(f.context);
    cr_assert_eq(warnings.size(), 2U);
    policy::note_direct_failure(f.context.state.paths, "s2", now);
    cr_assert(warnings_for_peers(f.context).empty());
}

Test(tunnels, a_lost_path_does_not_eject_a_server) {
    relay_fixture f;
    const base::steady_time now = f.owner.now();
    policy::note_direct_failure(f.context.state.paths, "s1", now);
    policy::note_direct_failure(f.context.state.paths, "s2", now);
    for (const auto result :
         {policy::call_result::broken, policy::call_result::silent,
          policy::call_result::slow})
        note_call_result(f.context, "s1", result, "r");
    cr_assert(!policy::is_avoided(f.context.state.health, "s1", now));
    cr_assert(policy::take_unreported(f.context.state.health).empty());
    for (int i = 0; i < 3; ++i)
        note_call_result(f.context, "s1", policy::call_result::failed, "r");
    cr_assert(policy::is_avoided(f.context.state.health, "s1", now));
}
