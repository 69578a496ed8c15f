/// @file
/// The counts of callers from log lines.

#include <mintknot/losses/loss_ledger.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <fstream>
#include <unistd.h>

using namespace mintknot;
using namespace mintknot::losses;

namespace {

struct ended {
    std::string instance = "i1";
    std::string request = "a";
    int at = 10000;
    std::string outcome = "answered";
    std::string verdict = "ran";
    std::string digest{};
    int deadline = 14000;
    int first_byte = 200;
    int longest_gap = 0;
    bool returned = false;
};

/// The end of a stream that took 500 ms, as instances of this build write it.
std::string line(const ended& what) {
    return fmt::format(
        R"({{"at":{},"instance":"{}","event":"finished","request":"{}",)"
        R"("route":"r","outcome":"{}","sends":1,"returned":{},)"
        R"("target_ms":900,"waited_ms":0,"first_byte_ms":{},"total_ms":500,)"
        R"("verdict":"{}","digest":"{}","deadline_ms":{},"priority":2,)"
        R"("organisation":"o","longest_gap_ms":{},"target_gap_ms":300}})",
        what.at, what.instance, what.request, what.outcome, what.returned,
        what.first_byte, what.verdict, what.digest, what.deadline,
        what.longest_gap);
}

std::string started(const std::string& instance, const std::string& centre) {
    return fmt::format(
        R"({{"at":1,"instance":"{}","event":"started","data_centre":"{}"}})",
        instance, centre);
}

std::string old_line(const std::string& id, const std::string& outcome) {
    return fmt::format(
        R"({{"at":10000,"instance":"i1","event":"finished","request":"{}",)"
        R"("route":"r","outcome":"{}","sends":{},"returned":false,)"
        R"("target_ms":900,"waited_ms":0,"first_byte_ms":10,"total_ms":500}})",
        id, outcome, outcome == "no_capacity" ? 0 : 1);
}

const std::string digest = "00112233445566778899aabbccddeeff";

/// @return the lines of a caller that is refused by one instance and served by
/// another one, to which it returns after 200 ms; a log for each instance.
std::vector<std::vector<std::string>> logs_of_a_return() {
    return {
        {started("i1", "a"), line(
                                 {.outcome = "no_capacity",
                                  .verdict = "not_run",
                                  .digest = digest})},
        {started("i2", "b"), line(
                                 {.instance = "i2",
                                  .request = "b",
                                  .at = 10700,
                                  .digest = digest,
                                  .deadline = 13300,
                                  .returned = true})}};
}

loss_ledger read(const std::vector<std::vector<std::string>>& logs) {
    loss_ledger ledger;
    for (const auto& log : logs)
        for (const std::string& each : log)
            take_line(ledger, each);
    close_account(ledger);
    return ledger;
}

/// @return the memory of this process in MB.
std::size_t memory_in_use() {
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) /
           (std::size_t{1} << 20);
}

} // namespace

// Guards against the loss report's old fault: a return counted as a new caller.
Test(caller_log, a_caller_that_returns_to_another_instance_is_one_caller) {
    auto logs = logs_of_a_return();
    for (int order = 0; order < 2; ++order) {
        const loss_ledger ledger = read(logs);
        const caller_counts& all = ledger.callers.all;
        cr_assert(all.callers == 1);
        cr_assert(all.in_target == 1);
        cr_assert(all.ever_refused == 1);
        const auto centres =
            callers_by_data_centre(ledger.callers, ledger.data_centres);
        cr_assert(centres.size() == 1 && centres.at("a").callers == 1);
        cr_assert(ledger.callers.priorities.at("2").callers == 1);
        cr_assert(ledger.callers.organisations.at("o").callers == 1);
        // The requests are counted as before.
        cr_assert(ledger.first_tries.at("r").returned == 1);
        std::swap(logs[0], logs[1]);
    }
}

Test(caller_log, gaps_between_events_make_a_stream_late) {
    const loss_ledger ledger = read(
        {{line({.request = "a", .longest_gap = 300}),
          line({.request = "b", .longest_gap = 900})}});
    cr_assert(ledger.callers.all.in_target == 1);
    cr_assert(ledger.callers.all.late == 1);
    cr_assert(ledger.callers.all.late_by_gap == 1);
}

// Guards against losing the lines of instances that are not yet replaced.
Test(caller_log, instances_of_an_older_build_count_each_try) {
    auto logs = logs_of_a_return();
    logs.push_back(
        {old_line("x", "answered"), old_line("y", "no_capacity"),
         old_line("z", "decode_broke_off")});
    const loss_ledger ledger = read(logs);
    const caller_counts& all = ledger.callers.all;
    cr_assert(all.callers == 4);
    cr_assert(all.in_target == 2);
    cr_assert(all.refused_once == 1);
    cr_assert(all.failed == 1);
    cr_assert(ledger.callers.priorities.at("unknown").callers == 3);
    cr_assert(ledger.callers.organisations.at("unknown").callers == 3);
    cr_assert(ledger.first_tries.at("r").first_tries == 4);
}

// Guards against an error, or a lost count, where a log begins or ends inside a
// line, or without the line that names the data centre.
Test(caller_log, a_truncated_log_counts_what_it_has) {
    const auto logs = logs_of_a_return();
    const loss_ledger ledger = read(
        {{logs[0][1].substr(30)},
         {logs[1][1], line({.request = "c"}).substr(0, 200),
          R"({"at":1,"instance":"i2","event":"decode","request":"d"})"}});
    cr_assert(ledger.lines.foreign == 2);
    const caller_counts& all = ledger.callers.all;
    cr_assert(all.callers == 2);
    cr_assert(all.in_target == 1);
    cr_assert(all.failed == 1); // Its end is missing.
    cr_assert(ledger.callers.returns_without_first_try == 1);
    const auto centres =
        callers_by_data_centre(ledger.callers, ledger.data_centres);
    cr_assert(centres.at("unknown").callers == 2);
}

Test(caller_log, results_follow_from_verdicts) {
    const loss_ledger ledger = read(
        {{line(
              {.request = "a",
               .outcome = "decode_rejected",
               .verdict = "not_run"}),
          line(
              {.request = "b",
               .outcome = "decode_broke_off",
               .verdict = "may_have_run"}),
          line(
              {.request = "c",
               .outcome = "caller_left",
               .verdict = "not_run"})}});
    cr_assert(ledger.callers.all.refused_once == 1);
    cr_assert(ledger.callers.all.failed == 2);
}

// Guards against running out of memory on a log without the ends of requests,
// and on one of a long overload.
Test(caller_log, half_a_million_open_requests_fit_into_memory, .timeout = 100) {
    constexpr int requests = 500'000;
    constexpr std::size_t max_growth_mb = 256;
    const std::size_t before = memory_in_use();
    loss_ledger ledger;
    for (int i = 0; i < requests; ++i) {
        take_line(
            ledger, fmt::format(
                        R"({{"at":{},"instance":"i1","event":"decode",)"
                        R"("request":"{:016x}","route":"r"}})",
                        i, i));
        take_line(
            ledger, line(
                        {.request = fmt::format("r{:015x}", i),
                         .at = i,
                         .outcome = "no_capacity",
                         .verdict = "not_run",
                         .digest = fmt::format("{:032x}", i + 1)}));
    }
    const std::size_t grown = memory_in_use() - before;
    cr_assert(ledger.open.size() <= ledger.options.most_open);
    cr_assert(grown < max_growth_mb, "%zu MB", grown);
    close_account(ledger);
    cr_assert(ledger.callers.all.callers == 2 * requests);
    cr_assert(ledger.callers.all.failed == requests);
}
