#include "relay_fixture.hpp"
#include "usage_messages.hpp"

#include <mintknot/limits/usage_accounts.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

using namespace mintknot;
using namespace mintknot::limits;
using base::milliseconds;

namespace {

const policy::usage_bounds bounds{milliseconds{8000}, 0.0, 4000.0};

/// Instances on one event loop that exchange datagrams, except with silent
/// hosts.
class group {
public:
    explicit group(std::size_t instances) {
        traffic::organisation_row row;
        row.value.name = "o";
        row.value.limit = {1000.0, 1000.0, traffic::usage_unit::tokens, 5.0};
        row.keys = {"k"};
        f.config.organisations =
            std::make_shared<const traffic::organisation_table>(
                std::vector<traffic::organisation_row>{row});
        f.configure();
        f.context.options.data_centre = "a";
        for (std::size_t i = 0; i < instances; ++i)
            add("h" + std::to_string(i));
    }

    void add(const std::string& host) {
        usage_account_callbacks callbacks;
        callbacks.own_host = host;
        callbacks.send =
            [this, host](const std::string& to, const std::string& datagram) {
                const auto message = decode_usage(datagram);
                cr_assert(message.ok());
                if (std::holds_alternative<usage_request>(*message))
                    asked.push_back(to);
                else if (std::holds_alternative<usage_charge>(*message))
                    charged.push_back(to);
                if (silent.contains(to) || silent.contains(host))
                    return;
                f.owner.post([this, host, to, datagram] {
                    cr_assert(members.at(to)->receive(host, datagram));
                });
            };
        callbacks.members = [this, host] {
            std::vector<group_peer> others;
            for (const auto& [name, member] : members)
                if (name != host)
                    others.push_back({name, "a", false});
            return others;
        };
        callbacks.may_keep_accounts = [] { return true; };
        members[host] =
            std::make_unique<usage_accounts>(f.context, callbacks, bounds);
    }

    const traffic::organisation& who() const {
        return *f.context.state.config->organisations->find_by_name("o");
    }

    /// Requests a grant and waits for the answer.
    relay::usage_grant ask(const std::string& host, double cost) {
        std::optional<relay::usage_grant> result;
        const auto ticket = members.at(host)->request_grant(
            who(), cost,
            [&](const relay::usage_grant& grant) { result = grant; });
        cr_assert(!result, "handler called before the call returned");
        f.run_until([&] { return result.has_value(); });
        return *result;
    }

    relay::tests::relay_fixture f;
    std::map<std::string, std::unique_ptr<usage_accounts>> members;
    std::vector<std::string> asked;   ///< Recipients of usage requests.
    std::vector<std::string> charged; ///< Recipients of charges.
    std::set<std::string> silent;
};

} // namespace

Test(usage_accounts, all_instances_draw_from_one_account) {
    group g(4);
    double granted = 0.0;
    for (int i = 0; i < 40; ++i)
        if (g.ask("h" + std::to_string(i % 4), 100.0).granted)
            granted += 100.0;
    // The keeper's overdraft, of which it has a tenth at the start, and what
    // 1,000 tokens per second earn meanwhile.
    cr_assert(granted >= 300.0);
    cr_assert(granted <= 1500.0);
}

Test(usage_accounts, an_unused_grant_can_be_drawn_again) {
    group g(3);
    const relay::usage_grant first = g.ask("h0", 300.0);
    cr_assert(first.granted);
    cr_assert(!g.ask("h1", 300.0).granted);
    g.members.at("h0")->refund("o", first);
    g.f.run_until([&, turns = 0]() mutable { return ++turns > 3; });
    cr_assert(g.ask("h2", 300.0).granted);
}

Test(usage_accounts, own_share_is_used_when_no_peer_answers) {
    group g(3);
    g.silent = {"h0", "h1", "h2"};
    cr_assert(g.ask("h0", 100.0).granted);
    cr_assert(!g.ask("h0", 840.0).granted);
    const account_counters& seen = g.members.at("h0")->counters();
    cr_assert(seen.granted == 1 && seen.refused == 1);
    cr_assert(seen.granted_alone + seen.granted_by_deputies <= 1);
}

Test(usage_accounts, silent_keeper_is_not_asked_again_soon) {
    group g(3);
    for (const char* host : {"h0", "h1", "h2"})
        g.ask(host, 1.0);
    // The host that the others ask is the keeper.
    const std::string keeper = g.asked.front();
    const std::string asker = keeper == "h0" ? "h1" : "h0";
    g.silent = {keeper};
    g.ask(asker, 1.0);
    g.asked.clear();
    for (int i = 0; i < 5; ++i)
        cr_assert(g.ask(asker, 1.0).granted);
    cr_assert(std::count(g.asked.begin(), g.asked.end(), keeper) == 0);
    // Grants are still charged to the keeper, which may be alive.
    cr_assert(std::count(g.charged.begin(), g.charged.end(), keeper) == 6);
}

Test(usage_accounts, cancelled_request_refunds_its_grant) {
    group g(2);
    g.ask("h0", 1.0);
    g.ask("h1", 1.0);
    const std::string keeper = g.asked.front();
    const std::string asker = keeper == "h0" ? "h1" : "h0";
    auto ticket = g.members.at(asker)->request_grant(
        g.who(), 150.0, [](const relay::usage_grant&) {
            cr_assert(false, "handler called after cancellation");
        });
    // The request is sent, then its ticket is destroyed.
    g.f.owner.post([&] { ticket.reset(); });
    g.f.run_until([&, turns = 0]() mutable { return ++turns > 5; });
    cr_assert(g.ask(asker, 150.0).granted);
}

Test(usage_accounts, unrelated_datagrams_are_rejected) {
    group g(1);
    for (const char* datagram : {"", "x", "\x93\x02\x01"})
        cr_assert(!g.members.at("h0")->receive("h1", datagram));
}
