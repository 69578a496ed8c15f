#include <mintknot/losses/loss_ledger.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace mintknot;
using namespace mintknot::losses;

namespace {

std::string line(
    const std::string& event, const std::string& request,
    const std::string& rest = "") {
    return fmt::format(
        R"({{"at":10000,"instance":"i1","event":"{}","request":"{}"{}}})",
        event, request, rest);
}

std::string finished(
    const std::string& request, const std::string& outcome, int first_byte_ms,
    int sends = 1, int waited_ms = 0, bool returned = false) {
    return line(
        "finished", request,
        fmt::format(
            R"(,"route":"r","outcome":"{}","sends":{},"returned":{},)"
            R"("target_ms":900,"waited_ms":{},"first_byte_ms":{})",
            outcome, sends, returned, waited_ms, first_byte_ms));
}

std::int64_t requests_with(const loss_ledger& ledger, loss_cause cause) {
    std::int64_t sum = 0;
    for (const auto& [key, requests] : ledger.requests)
        if (key.cause == cause)
            sum += requests;
    return sum;
}

} // namespace

Test(loss_ledger, first_tries_are_told_apart) {
    loss_ledger ledger;
    take_line(ledger, finished("a", "answered", 200));
    take_line(ledger, finished("b", "answered", 1200));
    take_line(ledger, finished("c", "no_capacity", 0, 0, 2));
    take_line(ledger, finished("d", "no_capacity", 0, 0, 300));
    take_line(ledger, finished("e", "decode_broke_off", 0, 1));
    take_line(ledger, finished("f", "answered", 100, 1, 0, true));
    take_line(ledger, finished("g", "no_capacity", 0, 0, 0, true));
    const first_try_account& account = ledger.first_tries.at("r");
    cr_assert(account.first_tries == 5);
    cr_assert(account.in_target == 1 && account.late == 1);
    cr_assert(account.refused_at_once == 1);
    cr_assert(account.held_and_refused == 1);
    cr_assert(account.held == base::milliseconds(300));
    cr_assert(account.failed == 1);
    cr_assert(account.returned == 2 && account.returned_in_vain == 1);
}

Test(loss_ledger, lateness_has_its_cause) {
    loss_ledger ledger;
    take_line(ledger, finished("w", "answered", 1200, 1, 700));
    take_line(ledger, finished("s", "answered", 1200, 1, 100));
    take_line(ledger, line("prefill", "p", R"(,"route":"r","tokens":3000)"));
    take_line(
        ledger, line("prefill_again", "p", R"(,"reason":"prefill_silent")"));
    take_line(ledger, line("prefill", "p", R"(,"tokens":3000)"));
    take_line(ledger, line("decode", "p", R"(,"with_result":true)"));
    take_line(ledger, finished("p", "answered", 1000));
    cr_assert(requests_with(ledger, loss_cause::late_by_waiting) == 1);
    cr_assert(requests_with(ledger, loss_cause::late_at_server) == 1);
    cr_assert(requests_with(ledger, loss_cause::late_by_second_read) == 1);
    cr_assert(ledger.tokens_read_again.at("prefill_silent") == 3000.0);
}

Test(loss_ledger, requests_without_an_end_are_lost_with_their_instance) {
    loss_ledger ledger;
    take_line(
        ledger,
        R"({"at":1,"instance":"i1","event":"started","data_centre":"a"})");
    take_line(ledger, line("prefill", "x", R"(,"route":"r","tokens":2000)"));
    close_account(ledger);
    cr_assert(requests_with(ledger, loss_cause::lost_with_instance) == 1);
    cr_assert(ledger.requests.begin()->first.data_centre == "a");
    cr_assert(ledger.tokens_read_again.at("not_answered") == 2000.0);
}

Test(loss_ledger, a_line_after_the_end_opens_nothing) {
    loss_ledger ledger;
    take_line(ledger, finished("a", "no_capacity", 0));
    take_line(ledger, line("result_dropped", "a"));
    close_account(ledger);
    cr_assert(requests_with(ledger, loss_cause::lost_with_instance) == 0);
}

Test(loss_ledger, foreign_and_torn_lines_are_counted_and_named) {
    loss_ledger ledger;
    take_line(ledger, "kernel: something else");
    take_line(ledger, finished("a", "answered", 10).substr(0, 60));
    take_line(ledger, R"({"event":7,"instance":"i1"})");
    take_line(ledger, "");
    take_line(ledger, "Dec 02 host: " + finished("b", "answered", 10));
    cr_assert(ledger.lines.foreign == 3);
    cr_assert(ledger.lines.first_foreign == "kernel: something else");
    cr_assert(ledger.lines.read == 1);
    cr_assert(requests_with(ledger, loss_cause::none) == 1);
}

Test(loss_ledger, memory_is_bounded_whatever_ends_are_missing) {
    loss_ledger ledger;
    ledger.options.most_open = 10;
    for (int i = 0; i < 1000; ++i) {
        take_line(ledger, line("prefill", fmt::format("x{}", i)));
        take_line(ledger, line("prefill", fmt::format("y{}", i)));
        take_line(ledger, finished(fmt::format("y{}", i), "answered", 10));
    }
    cr_assert(ledger.open.size() <= 10);
    cr_assert(ledger.open_order.size() <= 21);
    cr_assert(requests_with(ledger, loss_cause::lost_with_instance) >= 990);
    cr_assert(requests_with(ledger, loss_cause::none) == 1000);
}

Test(loss_ledger, what_instances_left_out_is_known) {
    loss_ledger ledger;
    take_line(
        ledger,
        R"({"at":1,"instance":"i1","event":"peer_lost","left_out":12})");
    cr_assert(ledger.lines.left_out == 12);
}

// Guards against adding up totals: three lines that say 12, 12 and 15 stand for
// 15 lines left out.
Test(loss_ledger, totals_of_lines_left_out_are_not_added_up) {
    loss_ledger ledger;
    const auto left_out = [&](const char* event, int total) {
        take_line(
            ledger,
            fmt::format(
                R"({{"at":1,"instance":"i1","event":"{}","left_out":{}}})",
                event, total));
    };
    left_out("peer_lost", 12);
    left_out("peer_lost", 12);
    left_out("peer_lost", 15);
    cr_assert(ledger.lines.left_out == 15);
    left_out("started", 0);
    left_out("peer_lost", 4);
    cr_assert(ledger.lines.left_out == 19);
}

Test(loss_ledger, a_refusal_at_the_door_is_a_loss_but_for_unknown_routes) {
    loss_ledger ledger;
    take_line(ledger, line("refused", "a", R"(,"reason":"stopping")"));
    take_line(ledger, line("refused", "b", R"(,"reason":"no_route")"));
    cr_assert(requests_with(ledger, loss_cause::refused_at_the_door) == 1);
    cr_assert(ledger.requests.size() == 1);
}

Test(loss_ledger, refusals_for_keys_and_limits_have_their_causes) {
    loss_ledger ledger;
    const auto given_up = [&](const char* id, const char* reason) {
        take_line(
            ledger,
            line(
                "given_up", id,
                fmt::format(R"(,"reason":"{}","organisation":"o")", reason)));
        take_line(ledger, finished(id, reason, 0, 0));
    };
    given_up("a", "over_limit");
    given_up("b", "over_limit");
    given_up("c", "old_knowledge");
    given_up("d", "no_capacity");
    take_line(ledger, line("refused", "e", R"(,"reason":"unknown_key")"));
    take_line(ledger, line("refused", "f", R"(,"reason":"old_knowledge")"));
    take_line(ledger, line("refused", "g", R"(,"reason":"stopping")"));
    cr_assert(requests_with(ledger, loss_cause::over_limit) == 2);
    cr_assert(requests_with(ledger, loss_cause::old_knowledge) == 2);
    cr_assert(requests_with(ledger, loss_cause::unknown_key) == 1);
    cr_assert(requests_with(ledger, loss_cause::refused_at_the_door) == 1);
    const auto& causes = ledger.by_organisation.at("o");
    cr_assert(causes.at(loss_cause::over_limit) == 2);
    cr_assert(causes.at(loss_cause::old_knowledge) == 1);
    cr_assert(causes.size() == 2);
}
