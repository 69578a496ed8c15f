#include <mintknot/losses/caller_account.hpp>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace mintknot;
using namespace mintknot::losses;

namespace {

using base::milliseconds;

constexpr milliseconds deadline{14000};

/// A try with 14 s from 0 on and a target of 900 ms. It takes 100 ms.
caller_try
try_at(std::int64_t at, try_result result, std::uint64_t digest = 7) {
    caller_try ended;
    ended.digest = digest;
    ended.route = "r";
    ended.priority = "1";
    ended.organisation = "o";
    ended.instance = fmt::format("i{}", at);
    ended.started_at = at;
    ended.total = milliseconds(100);
    ended.deadline = deadline - milliseconds(at);
    ended.first_byte = milliseconds(100);
    ended.target = milliseconds(900);
    ended.result = result;
    ended.returned = at > 0;
    return ended;
}

caller_counts counted(const std::vector<caller_try>& tries) {
    caller_account account;
    for (const caller_try& each : tries)
        note_try(account, each);
    link_tries(account);
    return account.all;
}

} // namespace

// Guards against counting the return of a caller as a new caller.
Test(caller_account, a_return_is_the_same_caller_in_any_order_of_reading) {
    std::vector<caller_try> tries{
        try_at(0, try_result::refused), try_at(400, try_result::refused),
        try_at(700, try_result::answered)};
    std::sort(tries.begin(), tries.end(), [](const auto& a, const auto& b) {
        return a.started_at > b.started_at;
    });
    const caller_counts counts = counted(tries);
    cr_assert(counts.callers == 1);
    cr_assert(counts.in_target == 1);
    cr_assert(counts.ever_refused == 1 && counts.ever_refused_twice == 1);
}

// Guards against judging a return by its own arrival.
Test(caller_account, the_target_counts_from_the_first_try) {
    const caller_counts counts = counted(
        {try_at(0, try_result::refused), try_at(801, try_result::answered)});
    cr_assert(counts.callers == 1);
    cr_assert(counts.late == 1);
    cr_assert(counts.late_by_gap == 0);
}

Test(caller_account, callers_that_stay_refused_are_told_apart) {
    const caller_counts once = counted({try_at(0, try_result::refused)});
    cr_assert(once.refused_once == 1 && once.refused_twice == 0);
    const caller_counts thrice = counted(
        {try_at(0, try_result::refused), try_at(500, try_result::refused),
         try_at(900, try_result::refused)});
    cr_assert(thrice.callers == 1);
    cr_assert(thrice.refused_once == 0 && thrice.refused_twice == 1);
}

// Guards against taking the next request with the same content for a return.
Test(caller_account, equal_requests_after_the_deadline_are_other_callers) {
    caller_try later = try_at(0, try_result::refused);
    later.started_at = 20000;
    const caller_counts counts =
        counted({try_at(0, try_result::refused), later});
    cr_assert(counts.callers == 2);
    cr_assert(counts.refused_once == 2);
}

// Guards against taking independent callers with the same content for one:
// their deadlines do not shrink, and their tries overlap.
Test(caller_account, equal_requests_of_independent_callers_stay_apart) {
    caller_try other = try_at(0, try_result::refused);
    other.started_at = 300;
    caller_try overlapping = try_at(50, try_result::refused);
    overlapping.started_at = -1000;
    const caller_counts counts =
        counted({try_at(0, try_result::refused), other, overlapping});
    cr_assert(counts.callers == 3);
}

Test(caller_account, each_return_goes_to_the_caller_with_its_deadline) {
    caller_try second = try_at(0, try_result::refused);
    second.started_at = 300;
    second.route = "s";
    caller_try return_of_second = try_at(500, try_result::answered);
    return_of_second.started_at = 800;
    caller_account account;
    for (const caller_try& each :
         {try_at(0, try_result::refused), second, return_of_second})
        note_try(account, each);
    link_tries(account);
    cr_assert(account.routes.at("r").refused_once == 1);
    cr_assert(account.routes.at("s").in_target == 1);
}

// Clocks of hosts differ by some milliseconds.
Test(caller_account, a_return_may_seem_to_begin_before_the_refusal_ends) {
    caller_try early = try_at(150, try_result::answered);
    early.started_at = 90;
    const caller_counts counts =
        counted({try_at(0, try_result::refused), early});
    cr_assert(counts.callers == 1);
    cr_assert(counts.in_target == 1);
}

Test(caller_account, callers_without_a_deadline_are_followed) {
    caller_try first = try_at(0, try_result::refused);
    caller_try second = try_at(400, try_result::refused);
    first.deadline = second.deadline = milliseconds(0);
    const caller_counts counts = counted({first, second});
    cr_assert(counts.callers == 1);
    cr_assert(counts.refused_twice == 1);
}

Test(caller_account, a_stream_with_a_long_gap_is_late) {
    caller_try stream = try_at(0, try_result::answered, 0);
    stream.target_gap = milliseconds(300);
    stream.longest_gap = milliseconds(300);
    cr_assert(counted({stream}).in_target == 1);
    stream.longest_gap = milliseconds(301);
    const caller_counts counts = counted({stream});
    cr_assert(counts.late == 1 && counts.late_by_gap == 1);
    stream.target_gap = milliseconds(0);
    cr_assert(counted({stream}).in_target == 1);
}

Test(caller_account, a_return_whose_first_try_is_missing_is_counted) {
    caller_account account;
    note_try(account, try_at(700, try_result::answered));
    link_tries(account);
    cr_assert(account.all.callers == 1 && account.all.in_target == 1);
    cr_assert(account.returns_without_first_try == 1);
}

Test(caller_account, a_caller_belongs_where_its_first_try_was) {
    caller_account account;
    note_try(account, try_at(400, try_result::answered));
    note_try(account, try_at(0, try_result::refused));
    link_tries(account);
    const auto sums = callers_by_data_centre(account, {{"i0", "a"}});
    cr_assert(sums.size() == 1);
    cr_assert(sums.at("a").in_target == 1);
    cr_assert(account.priorities.at("1").callers == 1);
    cr_assert(account.organisations.at("o").callers == 1);
}

// Guards against memory that grows with the log.
Test(caller_account, tries_and_names_are_bounded) {
    caller_account account;
    account.limits = {100, 10};
    for (int i = 0; i < 10000; ++i) {
        caller_try each =
            try_at(0, try_result::refused, static_cast<std::uint64_t>(i) + 1);
        each.started_at = i;
        each.organisation = fmt::format("o{}", i);
        note_try(account, each);
        cr_assert(account.tries.size() <= 100);
    }
    link_tries(account);
    cr_assert(account.all.callers == 10000);
    cr_assert(account.names.names.size() <= 11);
    cr_assert(account.organisations.contains("(other)"));
    cr_assert(account.linked_early >= 9900);
    cr_assert(account.tries.empty());
}

// A search among all callers with the same content would take minutes here.
Test(caller_account, many_equal_requests_are_linked_quickly, .timeout = 20) {
    caller_account account;
    for (int i = 0; i < 200'000; ++i) {
        caller_try each = try_at(0, try_result::refused);
        each.instance = "i";
        each.started_at = i / 10;
        note_try(account, each);
    }
    link_tries(account);
    cr_assert(account.all.callers == 200'000);
}
