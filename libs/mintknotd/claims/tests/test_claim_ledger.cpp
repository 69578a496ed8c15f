#include <mintknot/claims/claim_ledger.hpp>

#include <mintknot/base/random.hpp>
#include <mintknot/standins/fake_platform.hpp>
#include <mintknot/table_service/http_table_client.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace mintknot;
using namespace mintknot::claims;
using end = claim_result::state;

namespace {

const claim_key key{"school", "quote-17"};

claim fresh_claim() {
    claim wanted;
    wanted.token = base::random_token();
    wanted.holder = "dc1.e1.1";
    return wanted;
}

struct served_ledger {
    served_ledger()
        : client(
              {"127.0.0.1", *server.start({"127.0.0.1", 0})},
              base::milliseconds{500})
        , writer(client, {})
        , thread([this](const std::stop_token& stop) { writer.run(stop); })
        , ledger(client, writer) {}

    standins::fake_platform server{{}};
    table_service::http_table_client client;
    claim_writer writer;
    std::jthread thread;
    claim_ledger ledger;
};

} // namespace

Test(claim_ledger, of_many_at_once_one_may_run) {
    served_ledger served;
    std::atomic<int> ours{0};
    std::atomic<int> taken{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 20; ++i)
        callers.emplace_back([&] {
            const auto result = served.ledger.take(key, fresh_claim());
            ours += result.end == end::ours ? 1 : 0;
            taken += result.end == end::taken ? 1 : 0;
        });
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(ours.load(), 1);
    cr_assert_eq(taken.load(), 19);
}

Test(claim_ledger, a_lost_answer_is_still_our_claim) {
    served_ledger served;
    served.server.set_faults({.lose_answers = 1});
    cr_assert(served.ledger.take(key, fresh_claim()).end == end::ours);
    cr_assert(served.ledger.take(key, fresh_claim()).end == end::taken);
}

Test(claim_ledger, without_the_store_nothing_is_claimed) {
    served_ledger served;
    served.server.set_faults({.down = true});
    cr_assert(served.ledger.take(key, fresh_claim()).end == end::unavailable);
}

Test(claim_ledger, a_finished_call_keeps_its_answer) {
    served_ledger served;
    const auto mine = fresh_claim();
    served.ledger.take(key, mine);
    cr_assert(served.ledger.finish(key, mine, {201, "text/plain", "done"}));
    const auto other = served.ledger.take(key, fresh_claim());
    cr_assert(other.end == end::taken);
    cr_assert(other.row.state == claim_state::finished);
    cr_assert_eq(other.row.answer.status, 201);
    cr_assert(other.row.answer.body == "done");
}

Test(claim_ledger, a_late_release_never_removes_a_later_claim) {
    served_ledger served;
    const auto first = fresh_claim();
    served.ledger.take(key, first);
    cr_assert(served.ledger.release(key, first));
    cr_assert(served.ledger.take(key, fresh_claim()).end == end::ours);
    cr_assert(served.ledger.release(key, first));
    cr_assert(served.ledger.look(key).ok());
}

Test(claim_ledger, many_claims_share_few_transactions) {
    served_ledger served;
    std::vector<std::thread> callers;
    std::atomic<int> ours{0};
    for (int i = 0; i < 60; ++i)
        callers.emplace_back([&, i] {
            const claim_key own{"school", std::to_string(i)};
            const auto result = served.ledger.take(own, fresh_claim());
            ours += result.end == end::ours ? 1 : 0;
        });
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(ours.load(), 60);
}
