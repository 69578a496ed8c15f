#include <mintknot/policy/crash_evidence.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

using base::milliseconds;

constexpr milliseconds soon{60};
constexpr milliseconds gap{100};
constexpr milliseconds long_run{2000};
const base::steady_time start{std::chrono::hours(1)};

request_key key(const std::string& digest) {
    return {digest, 10};
}

/// Evidence and a clock that is moved by hand.
struct ledger {
    crash_evidence evidence;
    base::steady_time now = start;
    std::string last_life;

    /// A moment after the one before, unless the server's life is the same.
    void crash(
        const std::string& digest, const std::string& life,
        milliseconds ran_for = soon) {
        if (life != last_life)
            now += gap;
        last_life = life;
        note_crash(evidence, key(digest), {life, now - ran_for, now}, now);
    }
    std::vector<block_news> judge_after(milliseconds time = crash_report_time) {
        now += time;
        return judge(evidence, now);
    }
    bool blocked(const std::string& digest) const {
        return blocked_for(evidence, digest, now).has_value();
    }
};

} // namespace

Test(crash_evidence, three_servers_that_ended_block_a_request) {
    ledger l;
    l.crash("c", "a");
    l.crash("c", "b");
    cr_assert(l.judge_after().empty());
    l.crash("c", "d");
    cr_assert(next_judgement(l.evidence).has_value());
    cr_assert(l.judge_after().size() == 1);
    cr_assert(l.blocked("c"));
    cr_assert(!next_judgement(l.evidence));
    l.now += first_block_time;
    cr_assert(!l.blocked("c"));
}

Test(crash_evidence, one_end_that_many_tell_of_counts_once) {
    ledger l;
    for (int i = 0; i < 5; ++i)
        l.crash("c", "a");
    cr_assert(l.judge_after().empty());
}

Test(crash_evidence, whoever_ran_beside_the_cause_is_not_blocked) {
    ledger l;
    for (const char* life : {"a", "b", "d"}) {
        l.crash("beside", life, long_run);
        l.crash("cause", life, soon);
    }
    cr_assert(l.judge_after().size() == 1);
    cr_assert(l.blocked("cause"));
    cr_assert(!l.blocked("beside"));
}

Test(crash_evidence, whoever_is_due_before_the_cause_is_not_blocked_either) {
    ledger l;
    l.crash("beside", "z", long_run);
    for (const char* life : {"a", "b"}) {
        l.crash("beside", life, soon + gap / 2);
        l.crash("cause", life, soon);
    }
    l.now += milliseconds(150);
    l.crash("cause", "d", soon);
    cr_assert(l.judge_after(milliseconds(60)).empty());
    cr_assert(l.judge_after().size() == 1);
    cr_assert(l.blocked("cause"));
}

Test(crash_evidence, many_servers_that_end_at_once_block_nothing) {
    ledger l;
    for (int i = 0; i < 8; ++i) {
        l.now += milliseconds(15);
        note_crash(
            l.evidence, key("common"),
            {fmt::format("life-{}", i), l.now - milliseconds(200), l.now},
            l.now);
    }
    cr_assert(l.judge_after().empty());
    cr_assert(!l.blocked("common"));
}

Test(crash_evidence, of_several_runs_on_a_server_the_longest_counts) {
    ledger l;
    for (const char* life : {"a", "b", "d"}) {
        l.crash("common", life, soon);
        l.crash("common", life, long_run);
    }
    cr_assert(l.judge_after().empty());
}

Test(crash_evidence, what_came_to_a_server_that_had_ended_is_not_to_blame) {
    ledger l;
    for (const char* life : {"a", "b", "d"}) {
        l.crash("cause", life);
        l.now += gap;
        const base::steady_time sent = l.now - soon;
        note_crash(l.evidence, key("late"), {life, sent, l.now}, l.now);
        const base::steady_time began = l.now - milliseconds(1);
        note_crash(l.evidence, key("refused"), {life, began, l.now}, l.now);
    }
    cr_assert(l.judge_after().size() == 1);
    cr_assert(l.blocked("cause"));
    cr_assert(!l.evidence.suspects.contains("refused"));
}

Test(crash_evidence, a_whole_answer_clears_a_request) {
    ledger l;
    l.crash("c", "a");
    l.crash("c", "b");
    cr_assert(clear(l.evidence, "c", l.now));
    l.crash("c", "d");
    cr_assert(l.judge_after().empty());
    cr_assert(!clear(l.evidence, "unknown", l.now));
}

Test(crash_evidence, after_a_block_one_more_crash_blocks_for_longer) {
    ledger l;
    for (const char* life : {"a", "b", "d"})
        l.crash("c", life);
    cr_assert(l.judge_after().at(0).left == first_block_time);
    l.now += first_block_time;
    l.crash("c", "e");
    const auto again = l.judge_after();
    cr_assert(again.size() == 1);
    cr_assert(again[0].left == 2 * first_block_time);
    cr_assert(again[0].times == 2);
}

Test(crash_evidence, blocks_are_taken_from_others_and_told_once) {
    ledger l;
    const block_news news{key("c"), milliseconds(5000), 1};
    cr_assert(note_block(l.evidence, news, l.now));
    cr_assert(!note_block(l.evidence, news, l.now));
    cr_assert(blocks(l.evidence, l.now).size() == 1);
    cr_assert(may_be_blocked(l.evidence, 10, l.now));
    cr_assert(!may_be_blocked(l.evidence, 11, l.now));
    l.now += milliseconds(5000);
    cr_assert(!l.blocked("c"));
}

Test(crash_evidence, news_that_are_older_than_the_clearing_do_not_block) {
    ledger l;
    const block_news news{key("c"), milliseconds(50000), 1};
    note_block(l.evidence, news, l.now);
    cr_assert(clear(l.evidence, "c", l.now));
    cr_assert(!note_block(l.evidence, news, l.now));
    cr_assert(!l.blocked("c"));
    cr_assert(recently_cleared(l.evidence, "c", l.now));
}

Test(crash_evidence, no_peer_can_block_for_longer_than_a_block_lasts) {
    ledger l;
    note_block(l.evidence, {key("c"), milliseconds::max() / 4, 1}, l.now);
    cr_assert(*blocked_for(l.evidence, "c", l.now) == first_block_time);
}

Test(crash_evidence, a_flood_of_requests_does_not_push_out_a_suspect) {
    ledger l;
    l.crash("c", "a");
    l.crash("c", "b");
    for (int i = 0; i < 5000; ++i) {
        l.now += milliseconds(1);
        l.crash(fmt::format("flood-{}", i), fmt::format("life-{}", i));
    }
    cr_assert(l.evidence.suspects.size() <= 2048);
    l.crash("c", "d");
    cr_assert(l.judge_after().size() == 1);
}

Test(crash_evidence, what_is_long_past_is_dropped) {
    ledger l;
    for (const char* life : {"a", "b", "d"})
        l.crash("c", life);
    l.crash("once", "a");
    l.judge_after();
    clear(l.evidence, "once", l.now);
    l.now += std::chrono::hours(2);
    expire(l.evidence, l.now);
    cr_assert(l.evidence.suspects.empty() || l.evidence.blocked.empty());
    expire(l.evidence, l.now);
    cr_assert(l.evidence.suspects.empty());
    cr_assert(l.evidence.blocked.empty());
    cr_assert(l.evidence.cleared.empty());
}
