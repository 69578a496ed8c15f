#include "group_tracker.hpp"
#include "usage_book.hpp"

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::limits;
using base::milliseconds;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);

/// 1,000 a second, and 400 may be overdrawn.
const policy::usage_bounds bounds{milliseconds{8000}, 0.0, 1600.0};

traffic::organisation limited(const std::string& name) {
    traffic::organisation who;
    who.name = name;
    who.limit = {1000.0, 1000.0, traffic::usage_unit::tokens, 200.0};
    return who;
}

bool draws(usage_book& book, account_kind account, double cost) {
    return book.draw(limited("o"), account, cost, start).granted;
}

} // namespace

Test(usage_book, organisations_do_not_share) {
    usage_book book(bounds);
    cr_assert(
        book.draw(limited("a"), account_kind::keeper, 400, start).granted);
    cr_assert(!book.draw(limited("a"), account_kind::keeper, 1, start).granted);
    cr_assert(
        book.draw(limited("b"), account_kind::keeper, 400, start).granted);
}

Test(usage_book, shares_bound_what_an_account_gives) {
    usage_book book(bounds);
    book.set_shares({1.0, 0.25, 0.01});
    // 0.6 of the slack of 1,600, by the shares.
    cr_assert(!draws(book, account_kind::deputy, 241.0));
    cr_assert(draws(book, account_kind::deputy, 239.0));
    cr_assert(!draws(book, account_kind::own, 9.7));
    cr_assert(draws(book, account_kind::keeper, 400.0));
}

Test(usage_book, a_doubled_return_counts_once) {
    usage_book book(bounds);
    draws(book, account_kind::keeper, 400.0);
    const usage_return unused{5, "o", 100.0, account_kind::keeper};
    book.give_back(limited("o"), "h", unused, start);
    book.give_back(limited("o"), "h", unused, start);
    cr_assert(draws(book, account_kind::keeper, 100.0));
    cr_assert(!draws(book, account_kind::keeper, 1.0));
    // The same number of another instance is another return.
    book.give_back(limited("o"), "g", unused, start);
    cr_assert(draws(book, account_kind::keeper, 100.0));
}

Test(usage_book, accounts_are_bounded) {
    usage_book book(bounds);
    for (int i = 0; i < 20000; ++i)
        book.draw(
            limited(std::to_string(i)), account_kind::keeper, 1.0,
            start + milliseconds(i * 10));
    cr_assert(book.size() <= 4096);
}

Test(group_tracker, a_silent_instance_counts_until_it_is_taken_for_lost) {
    group_tracker group(start);
    const std::vector<group_peer> both{{"b", "x", false}, {"c", "y", false}};
    const policy::group_view all = group.look(both, "x", start);
    cr_assert(all.heard == 3 && all.here == 2 && all.silent == 0);
    const std::vector<group_peer> one{
        {"b", "x", false},
        {"c", "y", false, policy::sharing_silence + milliseconds{1}}};
    const policy::group_view cut =
        group.look(one, "x", start + milliseconds(5000));
    cr_assert(cut.heard == 2 && cut.silent == 1);
    const policy::group_view later = group.look(
        {one[0]}, "x",
        start + policy::silent_peer_timeout + milliseconds(6000));
    cr_assert(later.silent == 0);
}

Test(group_tracker, who_leaves_grants_no_more) {
    group_tracker group(start);
    group.look({{"b", "x", false}}, "x", start);
    const policy::group_view view =
        group.look({{"b", "x", true}}, "x", start + milliseconds(10));
    cr_assert(view.heard == 1 && view.silent == 0);
}
