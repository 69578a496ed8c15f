#include "server_cuts.hpp"
#include "soak_checks.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::soak;

namespace {

const base::steady_time start{};

caller_record answered(request_kind kind) {
    caller_record record;
    record.id = "r1";
    record.kind = kind;
    record.status = 200;
    record.whole = true;
    record.body = expected_body(record);
    return record;
}

/// Notes of one request that ran so often.
server_notes ran(int times) {
    server_notes notes;
    for (int i = 0; i < times; ++i)
        note(notes, "run", "r1", start, "server-1");
    return notes;
}

} // namespace

Test(soak_checks, a_proper_answer_breaks_nothing) {
    for (const auto kind :
         {request_kind::safe, request_kind::unsafe, request_kind::stream,
          request_kind::resumable})
        cr_assert(broken_promises({answered(kind)}, ran(1)).empty());
}

Test(soak_checks, every_promise_can_be_broken) {
    cr_assert(
        broken_promises({answered(request_kind::unsafe)}, ran(2)).size() == 1);
    cr_assert(
        broken_promises({answered(request_kind::safe)}, ran(3)).size() == 1);
    cr_assert(broken_promises({answered(request_kind::safe)}, {}).size() == 1);
    caller_record other = answered(request_kind::stream);
    other.body = "x";
    cr_assert(broken_promises({other}, ran(1)).size() == 2);
    caller_record cut = answered(request_kind::stream);
    cut.body.pop_back();
    cr_assert(broken_promises({cut}, ran(1)).size() == 1);
    cut.whole = false;
    cr_assert(broken_promises({cut}, ran(1)).empty());
    caller_record refused;
    refused.id = "r1";
    refused.kind = request_kind::unsafe;
    refused.status = 503;
    refused.retry_after = true;
    cr_assert(broken_promises({refused}, ran(1)).size() == 1);
    cr_assert(broken_promises({refused}, {}).empty());
    refused.retry_after = false;
    cr_assert(broken_promises({refused}, {}).size() == 1);
}

Test(soak_checks, a_result_of_another_request_breaks_a_promise) {
    server_notes notes = ran(1);
    note(notes, "mixed", "r1", start, "server-1");
    cr_assert(
        broken_promises({answered(request_kind::stream)}, notes).size() == 1);
}

Test(soak_checks, planned_work_cuts_nothing_off) {
    caller_record cut = answered(request_kind::stream);
    cr_assert(broken_by_planned_work({cut}, ran(1)).empty());
    cut.whole = false;
    cr_assert(broken_by_planned_work({cut}, ran(1)).size() == 1);
    caller_record lost;
    lost.id = "r1";
    lost.unanswered = true;
    cr_assert(broken_by_planned_work({lost}, ran(1)).size() == 1);
    cr_assert(broken_by_planned_work({lost}, {}).empty());
}

Test(soak_checks, a_server_that_leaves_gets_nothing_new) {
    server_notes notes = ran(1);
    note(notes, "leaving", "r1", start, "server-1");
    cr_assert(
        broken_by_planned_work({answered(request_kind::safe)}, notes).size() ==
        1);
}

Test(soak_checks, nothing_runs_for_a_caller_that_has_left) {
    caller_record left;
    left.id = "r1";
    left.left_at = start;
    cr_assert(broken_by_planned_work({left}, ran(1)).empty());
    server_notes late;
    note(late, "run", "r1", start + std::chrono::seconds(3), "server-1");
    cr_assert(broken_by_planned_work({left}, late).size() == 1);
}

Test(soak_checks, only_what_was_done_lately_excuses_a_late_arrival) {
    using std::chrono::seconds;
    const base::steady_time arrival = start + seconds(10);
    server_notes notes = ran(1);
    note(notes, "leaving", "r1", arrival, "server-1");
    caller_record record = answered(request_kind::safe);
    record.instance = 2;
    const auto broken = [&](const std::vector<disturbance>& done) {
        return broken_in_touch({record}, notes, done).size();
    };
    cr_assert(broken({}) == 1);
    // What was done to others is no excuse.
    cr_assert(broken({{"store-0", start}}) == 1);
    for (const char* part : {"store", "store-2", "instance-2", "server-1"}) {
        cr_assert(broken({{part, start}}) == 0, "it lasts");
        cr_assert(broken({{part, start, start + seconds(8)}}) == 0);
        cr_assert(broken({{part, start, start + seconds(6)}}) == 1);
    }
}

namespace {

/// A request that an instance took, a second after the one before.
caller_record tried(const std::string& id, const std::string& mark) {
    caller_record record;
    record.id = id;
    record.mark = mark;
    record.sent = start;
    return record;
}

} // namespace

Test(soak_checks, tries_after_three_crashes_are_added_up) {
    std::vector<caller_record> records;
    server_notes notes;
    for (int i = 0; i < 8; ++i) {
        const std::string id = "c" + std::to_string(i);
        const base::steady_time at = start + base::milliseconds(1500 * i);
        records.push_back(tried(id, "crash 0"));
        note(notes, "marked", id, at, "server-1");
        note(notes, "crash", id, at, "server-1");
    }
    // The third crash is at 3 s; four tries come later than 6 s.
    cr_assert(broken_by_crashes(records, notes, {}).empty());
    records.push_back(tried("c8", "crash 0"));
    note(notes, "marked", "c8", start + base::milliseconds(12000), "server-1");
    cr_assert(broken_by_crashes(records, notes, {}).size() == 1);
    const std::vector<disturbance> cut = {
        {"store", start, start + base::milliseconds(20000)}};
    cr_assert(broken_by_crashes(records, notes, cut).empty());
}

Test(soak_checks, an_innocent_request_is_not_to_be_refused) {
    caller_record innocent = tried("r1", "");
    innocent.status = 503;
    innocent.body = "crashes_servers\n";
    cr_assert(broken_by_crashes({innocent}, {}, {}).size() == 1);
}

Test(soak_checks, what_reaches_a_server_after_its_word_counts) {
    caller_record told = tried("r1", "");
    caller_record late = tried("r2", "");
    late.sent = start + base::milliseconds(2500);
    server_notes notes;
    note(notes, "said-leaving", "r1", start, "server-1");
    note(notes, "arrival", "r2", late.sent, "server-1");
    cr_assert(broken_by_words({told, late}, notes, {}).size() == 1);
    const std::vector<disturbance> restart = {
        {"instance-0", start + base::milliseconds(500),
         start + base::milliseconds(600)}};
    cr_assert(broken_by_words({told, late}, notes, restart).empty());
    late.sent = start + base::milliseconds(1500);
    cr_assert(broken_by_words({told, late}, notes, {}).empty());
}

Test(soak_checks, two_requests_are_borne_while_a_server_rests) {
    std::vector<caller_record> records = {tried("r0", "")};
    server_notes notes;
    note(notes, "said-rest", "r0", start, "server-1");
    for (int i = 1; i <= 3; ++i) {
        cr_assert(broken_by_words(records, notes, {}).empty());
        const std::string id = "r" + std::to_string(i);
        records.push_back(tried(id, ""));
        records.back().sent = start + base::milliseconds(1000);
        note(notes, "arrival", id, records.back().sent, "server-1");
    }
    cr_assert(broken_by_words(records, notes, {}).size() == 1);
}

namespace {

const base::steady_time cut_from{base::milliseconds{100000}};

std::vector<past_cut> one_cut() {
    return {{{0}, true, cut_from, cut_from + base::milliseconds{6000}}};
}

std::vector<caller_record>
tries(std::size_t instance, int served, int failed, base::milliseconds at) {
    std::vector<caller_record> records;
    for (int i = 0; i < served + failed; ++i) {
        caller_record record;
        record.instance = instance;
        record.sent = cut_from + at;
        record.status = i < served ? 200 : 503;
        record.whole = true;
        records.push_back(record);
    }
    return records;
}

std::vector<caller_record> operator+(
    std::vector<caller_record> left, const std::vector<caller_record>& right) {
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

constexpr base::milliseconds in_time{3500};

std::vector<std::string> broken_during(
    const std::vector<caller_record>& records,
    const std::vector<disturbance>& disturbances) {
    return broken_by_cuts(cut_tallies(records, one_cut(), disturbances));
}

} // namespace

Test(soak_checks, a_cut_instance_has_to_serve_two_thirds_as_often) {
    const auto others = tries(1, 100, 0, in_time);
    cr_assert_eq(
        broken_during(tries(0, 65, 35, in_time) + others, {}).size(), 1U);
    cr_assert(broken_during(tries(0, 67, 33, in_time) + others, {}).empty());
}

Test(soak_checks, a_few_failures_at_a_cut_instance_are_borne) {
    const auto others = tries(1, 100, 0, in_time);
    cr_assert(broken_during(tries(0, 0, 10, in_time) + others, {}).empty());
    cr_assert_eq(
        broken_during(tries(0, 0, 11, in_time) + others, {}).size(), 1U);
}

Test(soak_checks, a_cut_counts_from_the_time_to_adapt_on) {
    const auto others = tries(1, 100, 0, in_time);
    cr_assert(
        broken_during(tries(0, 0, 50, base::milliseconds{2900}) + others, {})
            .empty());
}

Test(soak_checks, instances_that_were_disturbed_otherwise_do_not_count) {
    const auto others = tries(1, 100, 0, in_time);
    cr_assert(broken_during(
                  tries(0, 0, 50, in_time) + others, {{"instance-0", cut_from}})
                  .empty());
}
