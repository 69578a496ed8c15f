#include "account_table.hpp"
#include "group_tracker.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::limits;
using base::milliseconds;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

/// With a limit of 1,000 per second, the keeper may overdraw by 400.
const policy::usage_bounds bounds{milliseconds{8000}, 0.0, 1600.0};

traffic::organisation limited(const std::string& name) {
    traffic::organisation who;
    who.name = name;
    who.limit = {1000.0, 1000.0, traffic::usage_unit::tokens, 200.0};
    return who;
}

bool draws(account_table& table, account_kind account, double cost) {
    return table.draw(limited("o"), account, cost, start).granted;
}

} // namespace

Test(account_table, organisations_have_separate_accounts) {
    account_table table(bounds);
    cr_assert(
        table.draw(limited("a"), account_kind::keeper, 400, start).granted);
    cr_assert(
        !table.draw(limited("a"), account_kind::keeper, 1, start).granted);
    cr_assert(
        table.draw(limited("b"), account_kind::keeper, 400, start).granted);
}

Test(account_table, shares_limit_each_account) {
    account_table table(bounds);
    table.set_shares({1.0, 0.25, 0.01});
    // The overdraft is 0.6 of the slack of 1,600, times the share.
    cr_assert(!draws(table, account_kind::deputy, 241.0));
    cr_assert(draws(table, account_kind::deputy, 239.0));
    cr_assert(!draws(table, account_kind::own, 9.7));
    cr_assert(draws(table, account_kind::keeper, 400.0));
}

Test(account_table, duplicate_refund_counts_once) {
    account_table table(bounds);
    draws(table, account_kind::keeper, 400.0);
    const usage_refund unused{5, "o", 100.0, account_kind::keeper};
    table.refund(limited("o"), "h", unused, start);
    table.refund(limited("o"), "h", unused, start);
    cr_assert(draws(table, account_kind::keeper, 100.0));
    cr_assert(!draws(table, account_kind::keeper, 1.0));
    // The same number from another host is a different refund.
    table.refund(limited("o"), "g", unused, start);
    cr_assert(draws(table, account_kind::keeper, 100.0));
}

Test(account_table, number_of_accounts_is_bounded) {
    account_table table(bounds);
    for (int i = 0; i < 20000; ++i)
        table.draw(
            limited(std::to_string(i)), account_kind::keeper, 1.0,
            start + milliseconds(i * 10));
    cr_assert(table.size() <= 4096);
}

Test(group_tracker, silent_instance_counts_until_considered_lost) {
    group_tracker group(start);
    const std::vector<group_peer> both{{"b", "x", false}, {"c", "y", false}};
    const policy::group_view all = group.update(both, "x", start);
    cr_assert(all.heard == 3 && all.here == 2 && all.silent == 0);
    const std::vector<group_peer> one{
        {"b", "x", false},
        {"c", "y", false, policy::sharing_silence + milliseconds{1}}};
    const policy::group_view cut =
        group.update(one, "x", start + milliseconds(5000));
    cr_assert(cut.heard == 2 && cut.silent == 1);
    const policy::group_view later = group.update(
        {one[0]}, "x",
        start + policy::silent_peer_timeout + milliseconds(6000));
    cr_assert(later.silent == 0);
}

Test(group_tracker, leaving_instance_does_not_count_as_silent) {
    group_tracker group(start);
    group.update({{"b", "x", false}}, "x", start);
    const policy::group_view view =
        group.update({{"b", "x", true}}, "x", start + milliseconds(10));
    cr_assert(view.heard == 1 && view.silent == 0);
}
