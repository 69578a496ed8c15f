#include "relay_fixture.hpp"
#include "repeat_lending.hpp"

#include <mintknot/policy/retry_quota.hpp>

#include <criterion/criterion.h>

#include <deque>

using namespace mintknot;
using namespace mintknot::runtime;
using relay::tests::relay_fixture;

namespace {

struct sent_message {
    std::string host;
    loan_message value;
};

/// One instance of a large group; records its datagrams.
struct fixture {
    fixture()
        : lending(
              f.context,
              {[this](const std::string& host, const std::string& datagram) {
                   sent.push_back({host, *decode_loan(datagram)});
               },
               [this] { return peers; }}) {
        f.context.state.instances = 100;
        f.context.state.retry_bounds = {0.2, 1000.0, base::milliseconds(10000)};
        f.context.state.started = f.owner.now() - std::chrono::hours(1);
        f.context.state.on_retries_low =
            [this](const std::string& service, int repeats) {
                lending.ask(service, repeats);
            };
    }

    /// Spends the whole allowance. @return the number of retries spent.
    int spend_all() {
        int spent = 0;
        while (spent < 1000 && relay::spend_retry(f.context, "s"))
            ++spent;
        return spent;
    }

    std::uint64_t number() const {
        return std::get<loan_request>(sent.back().value).number;
    }

    relay_fixture f;
    std::vector<std::string> peers{"p", "q", "r", "s", "t", "u"};
    std::deque<sent_message> sent;
    repeat_lending lending;
};

} // namespace

Test(repeat_lending, some_peers_are_asked_once_in_a_while) {
    fixture f;
    cr_assert(f.spend_all() == 9, "its share of the extra retries");
    cr_assert(f.sent.size() == 4);
    cr_assert(f.spend_all() == 0);
    cr_assert(f.sent.size() == 4, "asked again immediately");
}

Test(repeat_lending, an_offer_counts_once_and_only_from_who_was_asked) {
    fixture f;
    f.spend_all();
    const std::string offer = encode(loan_offer{f.number(), 2});
    const std::string host = f.sent.back().host;
    cr_assert(f.lending.receive("stranger", offer));
    cr_assert(f.spend_all() == 0);
    cr_assert(f.lending.receive(host, offer));
    cr_assert(f.lending.receive(host, offer));
    cr_assert(f.spend_all() == 2);
    cr_assert(f.lending.borrowed() == 2);
}

Test(repeat_lending, half_of_what_is_left_is_lent) {
    fixture f;
    cr_assert(f.f.context.state.retry_allowances.empty());
    f.lending.receive("p", encode(loan_request{7, "s", 8}));
    cr_assert(f.sent.empty(), "lent retries of an unknown service");
    cr_assert(relay::spend_retry(f.f.context, "s"));
    f.lending.receive("p", encode(loan_request{7, "s", 8}));
    cr_assert(f.sent.size() == 1 && f.sent[0].host == "p");
    const auto offer = std::get<loan_offer>(f.sent[0].value);
    cr_assert(offer.number == 7 && offer.repeats == 4);
    cr_assert(f.lending.lent() == 4);
    cr_assert(f.spend_all() == 4);
}

Test(repeat_lending, small_groups_neither_ask_nor_lend) {
    fixture f;
    f.f.context.state.instances = 10;
    f.spend_all();
    f.lending.receive("p", encode(loan_request{7, "s", 8}));
    cr_assert(f.sent.empty());
}

Test(repeat_lending, other_datagrams_and_malformed_ones_are_left_alone) {
    fixture f;
    cr_assert(!f.lending.receive("p", ""));
    cr_assert(!f.lending.receive("p", "\x92\x02\x01"));
    cr_assert(!f.lending.receive("p", "\x92\x05\xa1"));
    cr_assert(!f.lending.receive("p", "\x94\x05\xa1x\x01\x01"));
    cr_assert(f.lending.receive("p", encode(loan_request{1, "s", -3})));
    cr_assert(f.lending.receive("p", encode(loan_offer{1, 1 << 30})));
    cr_assert(f.sent.empty());
}
