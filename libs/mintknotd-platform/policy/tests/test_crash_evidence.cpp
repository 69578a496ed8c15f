#include <mintknot/policy/crash_evidence.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

using base::milliseconds;

constexpr milliseconds short_run{60};
constexpr milliseconds gap{100};
constexpr milliseconds long_run{2000};
const base::steady_time start{std::chrono::hours(1)};

request_key key(const std::string& digest) {
    return {digest, 10};
}

/// Crash evidence with a manually advanced clock.
struct evidence_fixture {
    crash_evidence evidence;
    base::steady_time now = start;
    std::string last_incarnation;

    /// Records a crash, later than the previous one unless it is of the same
    /// server incarnation.
    void crash(
        const std::string& digest, const std::string& incarnation,
        milliseconds ran_for = short_run) {
        if (incarnation != last_incarnation)
            now += gap;
        last_incarnation = incarnation;
        note_crash(
            evidence, key(digest), {incarnation, now - ran_for, now}, now);
    }
    std::vector<block_entry>
    evaluate_after(milliseconds time = crash_report_time) {
        now += time;
        return evaluate_suspects(evidence, now);
    }
    bool blocked(const std::string& digest) const {
        return blocked_for(evidence, digest, now).has_value();
    }
};

} // namespace

Test(crash_evidence, three_server_crashes_block_a_request) {
    evidence_fixture l;
    l.crash("c", "a");
    l.crash("c", "b");
    cr_assert(l.evaluate_after().empty());
    l.crash("c", "d");
    cr_assert(next_evaluation(l.evidence).has_value());
    cr_assert(l.evaluate_after().size() == 1);
    cr_assert(l.blocked("c"));
    cr_assert(!next_evaluation(l.evidence));
    l.now += first_block_time;
    cr_assert(!l.blocked("c"));
}

Test(crash_evidence, a_crash_with_several_reports_counts_once) {
    evidence_fixture l;
    for (int i = 0; i < 5; ++i)
        l.crash("c", "a");
    cr_assert(l.evaluate_after().empty());
}

Test(crash_evidence, a_request_beside_the_cause_is_not_blocked) {
    evidence_fixture l;
    for (const char* incarnation : {"a", "b", "d"}) {
        l.crash("beside", incarnation, long_run);
        l.crash("cause", incarnation, short_run);
    }
    cr_assert(l.evaluate_after().size() == 1);
    cr_assert(l.blocked("cause"));
    cr_assert(!l.blocked("beside"));
}

Test(crash_evidence, a_request_evaluated_before_the_cause_is_not_blocked) {
    evidence_fixture l;
    l.crash("beside", "z", long_run);
    for (const char* incarnation : {"a", "b"}) {
        l.crash("beside", incarnation, short_run + gap / 2);
        l.crash("cause", incarnation, short_run);
    }
    l.now += milliseconds(150);
    l.crash("cause", "d", short_run);
    cr_assert(l.evaluate_after(milliseconds(60)).empty());
    cr_assert(l.evaluate_after().size() == 1);
    cr_assert(l.blocked("cause"));
}

Test(crash_evidence, simultaneous_crashes_block_nothing) {
    evidence_fixture l;
    for (int i = 0; i < 8; ++i) {
        l.now += milliseconds(15);
        note_crash(
            l.evidence, key("common"),
            {fmt::format("life-{}", i), l.now - milliseconds(200), l.now},
            l.now);
    }
    cr_assert(l.evaluate_after().empty());
    cr_assert(!l.blocked("common"));
}

Test(crash_evidence, the_longest_of_several_runs_on_a_server_counts) {
    evidence_fixture l;
    for (const char* incarnation : {"a", "b", "d"}) {
        l.crash("common", incarnation, short_run);
        l.crash("common", incarnation, long_run);
    }
    cr_assert(l.evaluate_after().empty());
}

Test(crash_evidence, requests_sent_after_the_crash_are_not_counted) {
    evidence_fixture l;
    for (const char* incarnation : {"a", "b", "d"}) {
        l.crash("cause", incarnation);
        l.now += gap;
        const base::steady_time sent = l.now - short_run;
        note_crash(l.evidence, key("late"), {incarnation, sent, l.now}, l.now);
        const base::steady_time began = l.now - milliseconds(1);
        note_crash(
            l.evidence, key("refused"), {incarnation, began, l.now}, l.now);
    }
    cr_assert(l.evaluate_after().size() == 1);
    cr_assert(l.blocked("cause"));
    cr_assert(!l.evidence.suspects.contains("refused"));
}

// Guards against blame for the end of servers that had ended before, by
// instances that have just started or were suspended.
Test(crash_evidence, runs_on_servers_that_may_have_ended_block_nothing) {
    for (const server_liveness liveness :
         {server_liveness::doubtful, server_liveness::assumed,
          server_liveness::heard}) {
        evidence_fixture l;
        l.evidence.complete_since = l.now + row_lapse_time;
        for (const char* incarnation : {"a", "b", "d", "e"}) {
            l.now += milliseconds(12);
            note_crash(
                l.evidence, key("common"),
                {incarnation, l.now - milliseconds(8), l.now, liveness}, l.now);
        }
        l.evaluate_after();
        cr_assert(l.blocked("common") == (liveness == server_liveness::heard));
    }
}

Test(crash_evidence, runs_after_the_evidence_is_complete_block_a_request) {
    evidence_fixture l;
    l.evidence.complete_since = l.now;
    for (const char* incarnation : {"a", "b", "d"})
        l.crash("c", incarnation);
    cr_assert(l.evaluate_after().size() == 1);
}

// Guards against an innocent request that takes the place of its cause because
// the cause ran on servers that may have ended before.
Test(crash_evidence, a_doubtful_cause_still_explains_crashes) {
    evidence_fixture l;
    for (const char* incarnation : {"a", "b", "d"}) {
        l.now += gap;
        note_crash(
            l.evidence, key("beside"),
            {incarnation, l.now - gap / 2, l.now, server_liveness::heard},
            l.now);
        note_crash(
            l.evidence, key("cause"),
            {incarnation, l.now - milliseconds(10), l.now,
             server_liveness::doubtful},
            l.now);
    }
    cr_assert(l.evaluate_after().empty());
}

Test(crash_evidence, a_complete_answer_clears_a_request) {
    evidence_fixture l;
    l.crash("c", "a");
    l.crash("c", "b");
    cr_assert(clear(l.evidence, "c", l.now));
    l.crash("c", "d");
    cr_assert(l.evaluate_after().empty());
    cr_assert(!clear(l.evidence, "unknown", l.now));
}

Test(crash_evidence, a_crash_after_a_block_doubles_the_block_time) {
    evidence_fixture l;
    for (const char* incarnation : {"a", "b", "d"})
        l.crash("c", incarnation);
    cr_assert(l.evaluate_after().at(0).left == first_block_time);
    l.now += first_block_time;
    l.crash("c", "e");
    const auto again = l.evaluate_after();
    cr_assert(again.size() == 1);
    cr_assert(again[0].left == 2 * first_block_time);
    cr_assert(again[0].times == 2);
}

Test(crash_evidence, block_notices_of_peers_are_applied_once) {
    evidence_fixture l;
    const block_entry entry{key("c"), milliseconds(5000), 1};
    cr_assert(note_block(l.evidence, entry, l.now));
    cr_assert(!note_block(l.evidence, entry, l.now));
    cr_assert(blocks(l.evidence, l.now).size() == 1);
    cr_assert(may_be_blocked(l.evidence, 10, l.now));
    cr_assert(!may_be_blocked(l.evidence, 11, l.now));
    l.now += milliseconds(5000);
    cr_assert(!l.blocked("c"));
}

Test(crash_evidence, notices_older_than_the_clearing_do_not_block) {
    evidence_fixture l;
    const block_entry entry{key("c"), milliseconds(50000), 1};
    note_block(l.evidence, entry, l.now);
    cr_assert(clear(l.evidence, "c", l.now));
    cr_assert(!note_block(l.evidence, entry, l.now));
    cr_assert(!l.blocked("c"));
    cr_assert(recently_cleared(l.evidence, "c", l.now));
}

Test(crash_evidence, a_notice_cannot_exceed_the_block_time) {
    evidence_fixture l;
    note_block(l.evidence, {key("c"), milliseconds::max() / 4, 1}, l.now);
    cr_assert(*blocked_for(l.evidence, "c", l.now) == first_block_time);
}

Test(crash_evidence, many_requests_do_not_evict_a_suspect) {
    evidence_fixture l;
    l.crash("c", "a");
    l.crash("c", "b");
    for (int i = 0; i < 5000; ++i) {
        l.now += milliseconds(1);
        l.crash(fmt::format("flood-{}", i), fmt::format("life-{}", i));
    }
    cr_assert(l.evidence.suspects.size() <= 2048);
    l.crash("c", "d");
    cr_assert(l.evaluate_after().size() == 1);
}

Test(crash_evidence, old_entries_expire) {
    evidence_fixture l;
    for (const char* incarnation : {"a", "b", "d"})
        l.crash("c", incarnation);
    l.crash("once", "a");
    l.evaluate_after();
    clear(l.evidence, "once", l.now);
    l.now += std::chrono::hours(2);
    expire(l.evidence, l.now);
    cr_assert(l.evidence.suspects.empty() || l.evidence.blocked.empty());
    expire(l.evidence, l.now);
    cr_assert(l.evidence.suspects.empty());
    cr_assert(l.evidence.blocked.empty());
    cr_assert(l.evidence.cleared.empty());
}
