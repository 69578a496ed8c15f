#include <mintknot/orders/demand_sharing.hpp>

#include "relay_fixture.hpp"

#include <criterion/criterion.h>

#include <deque>

using namespace mintknot;
using namespace mintknot::orders;
using relay::tests::relay_fixture;

namespace {

struct sent_datagram {
    std::string host;
    std::string bytes;
};

/// An instance whose datagrams are kept.
struct fixture {
    fixture()
        : sharing(
              f.context,
              {[this](const std::string& host, const std::string& datagram) {
                   sent.push_back({host, datagram});
               },
               [this] { return reader; }}) {}
    /// Some finished requests of the service.
    void see(int requests) {
        for (int i = 0; i < requests; ++i) {
            policy::note_uncontended_prefill(
                f.context.state.demands["llm"], 1000.0 + i,
                base::milliseconds(30));
            policy::note_decode(
                f.context.state.demands["llm"], 0.1, base::milliseconds(2000));
        }
    }
    relay_fixture f;
    std::string reader = "first";
    std::deque<sent_datagram> sent;
    demand_sharing sharing;
};

} // namespace

Test(demand_sharing, what_was_seen_adds_up_at_the_reader) {
    fixture teller;
    teller.see(20);
    teller.sharing.start();
    teller.f.run_until([&] { return !teller.sent.empty(); });
    cr_assert(teller.sent[0].host == "first");
    cr_assert(teller.sent[0].bytes.size() < 120);

    fixture reader;
    reader.see(20);
    cr_assert(reader.sharing.receive("x", teller.sent[0].bytes));
    cr_assert(reader.sharing.receive("y", teller.sent[0].bytes));
    cr_assert(reader.sharing.receive("y", teller.sent[0].bytes));
    const auto now = reader.f.owner.now();
    const policy::phase_demand own = reader.f.context.state.demands["llm"];
    const policy::phase_demand sum =
        relay::group_demand(reader.f.context.state, "llm", now);
    cr_assert_float_eq(sum.requests, 3.0 * own.requests, 1e-6);
    cr_assert_float_eq(sum.decode_seconds, 3.0 * own.decode_seconds, 1e-6);
    cr_assert_float_eq(
        policy::mean_prefill_seconds(sum), policy::mean_prefill_seconds(own),
        1e-6);
    const policy::phase_demand later = relay::group_demand(
        reader.f.context.state, "llm",
        now + relay::peer_demand_lifetime + base::milliseconds(1));
    cr_assert_float_eq(later.requests, own.requests, 1e-6);
}

Test(demand_sharing, nothing_is_told_without_a_reader_or_requests) {
    fixture idle;
    idle.sharing.start();
    fixture alone;
    alone.reader.clear();
    alone.see(3);
    alone.sharing.start();
    const auto until = idle.f.owner.now() + base::milliseconds(2200);
    idle.f.run_until([&] { return idle.f.owner.now() > until; });
    alone.f.run_until([&] { return alone.f.owner.now() > until; });
    cr_assert(idle.sent.empty());
    cr_assert(alone.sent.empty());
}

Test(demand_sharing, malformed_datagrams_are_left_alone) {
    fixture one;
    cr_assert(!one.sharing.receive("x", ""));
    cr_assert(!one.sharing.receive("x", "\x92\x02\x90"));
    cr_assert(!one.sharing.receive("x", "\x92\x07\x01"));
    cr_assert(!one.sharing.receive("x", "\x92\x07\x91\x91\xa1s"));
    // A negative sum.
    cr_assert(!one.sharing.receive(
        "x", "\x92\x07\x91\x98\xa1s\xff\x01\x01\x01\x01\x01\x01"));
    cr_assert(one.f.context.state.demands_of_peers.empty());
}
