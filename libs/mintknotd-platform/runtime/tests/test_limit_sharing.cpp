#include "limit_sharing.hpp"
#include "relay_fixture.hpp"

#include <mintknot/relay/server_notices.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace mintknot;
using namespace mintknot::runtime;
using relay::tests::relay_fixture;

namespace {

/// An instance that shares the server "s" with peers; records its datagrams.
struct fixture {
    fixture()
        : sharing(
              f.context,
              {"own",
               [this](const std::string&, const std::string& datagram) {
                   sent.push_back(*decode_limit(datagram));
               },
               [this](const traffic::server&, double) { return token_holders; },
               [](const traffic::server&) {
                   return std::vector<std::string>{"p"};
               }}) {
        f.add_server(
            "s", "app", traffic::engine_phase::none,
            [](const relay::tests::received_request&,
               const event::connection_ptr&) {});
        f.context.state.on_limit_received = [this] { sharing.start_updates(); };
    }

    policy::limit_view& limits() { return f.context.state.health.limits; }

    void receive_limit(std::optional<double> rate) {
        relay::server_notice notice;
        notice.limit = rate;
        notice.answers_request = true;
        relay::apply_server_notice(f.context, "s", notice);
    }

    template<class Message> std::vector<Message> messages() const {
        std::vector<Message> found;
        for (const limit_message& value : sent)
            if (const auto* known = std::get_if<Message>(&value))
                found.push_back(*known);
        return found;
    }

    void pass(int milliseconds) {
        const auto end = f.owner.now() + base::milliseconds(milliseconds);
        f.run_until([&] { return f.owner.now() >= end; });
    }

    relay_fixture f;
    std::vector<std::string> token_holders{"own", "p", "q"};
    std::vector<limit_message> sent;
    limit_sharing sharing;
};

} // namespace

Test(limit_sharing, limits_and_their_end_are_reported_to_peers) {
    fixture f;
    f.receive_limit(2.5);
    f.pass(150);
    cr_assert(f.messages<limit_report>().size() == 1);
    cr_assert(f.messages<limit_report>().front().rate == 2.5);
    f.receive_limit(1.5);
    f.pass(150);
    cr_assert(f.messages<limit_report>().back().rate == 1.5);
    f.pass(500);
    f.receive_limit(std::nullopt);
    f.pass(150);
    cr_assert(!f.messages<limit_report>().back().rate);
}

Test(limit_sharing, limits_reported_by_peers_apply_and_are_not_forwarded) {
    fixture f;
    const limit_report report{"s", 0.5, base::milliseconds(20)};
    cr_assert(f.sharing.receive("p", encode(report)));
    f.pass(150);
    cr_assert(policy::limit_of(f.limits(), "s") == 0.5);
    cr_assert(!policy::has_token(f.limits(), "s", f.f.owner.now()));
    cr_assert(f.messages<limit_report>().empty());
}

Test(limit_sharing, a_token_is_requested_and_used_once) {
    fixture f;
    f.receive_limit(0.1);
    policy::note_token_shortage(f.limits(), "s", f.f.owner.now());
    f.pass(150);
    cr_assert(f.messages<token_request>().size() == 2);
    cr_assert(f.sharing.receive("p", encode(token_offer{"s"})));
    cr_assert(policy::has_token(f.limits(), "s", f.f.owner.now()));
    policy::take_token(f.limits(), "s", f.f.owner.now());
    cr_assert(!policy::has_token(f.limits(), "s", f.f.owner.now()));
}

Test(limit_sharing, unsolicited_offers_are_ignored) {
    fixture f;
    f.receive_limit(0.1);
    f.pass(50);
    cr_assert(f.sharing.receive("p", encode(token_offer{"s"})));
    cr_assert(!policy::has_token(f.limits(), "s", f.f.owner.now()));
}

Test(limit_sharing, an_unused_token_is_lent) {
    fixture f;
    f.token_holders = {"own"};
    f.receive_limit(20.0);
    f.pass(200);
    cr_assert(f.sharing.receive("p", encode(token_request{"s"})));
    cr_assert(f.messages<token_offer>().size() == 1);
    cr_assert(f.sharing.receive("p", encode(token_request{"s"})));
    cr_assert(f.messages<token_offer>().size() == 1);
}

Test(limit_sharing, a_peer_unaware_that_a_limit_ended_is_notified) {
    fixture f;
    f.receive_limit(2.0);
    f.pass(600);
    f.receive_limit(std::nullopt);
    f.sent.clear();
    cr_assert(f.sharing.receive("q", encode(token_request{"s"})));
    cr_assert(f.messages<limit_report>().size() == 1);
    cr_assert(!f.messages<limit_report>().front().rate);
}

Test(limit_sharing, malformed_messages_are_ignored) {
    fixture f;
    const std::string whole =
        encode(limit_report{"s", 2.0, base::milliseconds(5)});
    for (std::size_t length = 0; length < whole.size(); ++length)
        f.sharing.receive("p", whole.substr(0, length));
    f.sharing.receive(
        "p", encode(limit_report{"s", -1.0, base::milliseconds(5)}));
    cr_assert(!policy::limit_of(f.limits(), "s"));
    f.sharing.receive(
        "p", encode(limit_report{"s", 2.0, base::milliseconds::max()}));
    cr_assert(policy::limit_of(f.limits(), "s") == 2.0);
    cr_assert(!f.sharing.receive("p", "\x93\x05"));
}
