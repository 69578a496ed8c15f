#include <mintknot/policy/usage_account.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;
using base::milliseconds;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
/// One token per millisecond, a burst of 1000 and an overdraft of 200.
const account_terms terms{1.0, 1000.0, 200.0};

base::steady_time at(int ms) {
    return start + milliseconds(ms);
}

/// An account that is full at the start.
usage_account full_account() {
    usage_account account;
    account.updated = start;
    account.level = terms.burst;
    return account;
}

} // namespace

Test(usage_account, a_new_account_grants_the_overdraft_only) {
    usage_account account;
    cr_assert(draw(account, terms, 150.0, start).granted);
    cr_assert(!draw(account, terms, 150.0, start).granted);
    cr_assert(draw(account, terms, 50.0, start).granted);
}

Test(usage_account, an_account_earns_its_rate_up_to_the_burst) {
    usage_account account;
    draw(account, terms, 200.0, start);
    cr_assert(!draw(account, terms, 100.0, at(99)).granted);
    cr_assert(draw(account, terms, 100.0, at(101)).granted);
    // After an hour it holds the burst, not the tokens of an hour.
    const int hour = 3600 * 1000;
    cr_assert(draw(account, terms, 1200.0, at(hour)).granted);
    cr_assert(!draw(account, terms, 10.0, at(hour)).granted);
}

Test(usage_account, a_cost_above_the_burst_needs_a_full_account) {
    usage_account account = full_account();
    cr_assert(draw(account, terms, 5000.0, start).granted);
    cr_assert(!draw(account, terms, 1.0, at(3000)).granted);
    cr_assert(draw(account, terms, 1.0, at(4001)).granted);
}

Test(usage_account, returned_tokens_can_be_drawn_again) {
    usage_account account;
    draw(account, terms, 200.0, start);
    give_back(account, terms, 120.0, start);
    cr_assert(draw(account, terms, 120.0, start).granted);
    give_back(account, terms, 1e9, start);
    cr_assert(account.level <= terms.burst);
}

Test(usage_account, refused_callers_get_successive_retry_times) {
    usage_account account;
    draw(account, terms, 200.0, start);
    const milliseconds first = draw(account, terms, 100.0, start).retry_after;
    const milliseconds second = draw(account, terms, 100.0, start).retry_after;
    const milliseconds third = draw(account, terms, 100.0, start).retry_after;
    cr_assert(first == milliseconds{100});
    cr_assert(second == milliseconds{200});
    cr_assert(third == milliseconds{300});
    // A caller that retries at its time is admitted.
    cr_assert(draw(account, terms, 100.0, at(100)).granted);
    cr_assert(draw(account, terms, 100.0, at(200)).granted);
    cr_assert(draw(account, terms, 100.0, at(300)).granted);
}

Test(usage_account, retry_times_are_bounded) {
    usage_account account;
    for (int i = 0; i < 1000; ++i) {
        const draw_result drawn = draw(account, terms, 150.0, start);
        if (drawn.granted)
            continue;
        cr_assert(drawn.retry_after >= min_limit_retry_after);
        cr_assert(drawn.retry_after <= max_limit_retry_after);
    }
}

Test(usage_account, a_lower_limit_also_lowers_the_burst) {
    usage_account account = full_account();
    const account_terms lower{0.1, 100.0, 20.0};
    cr_assert(draw(account, lower, 100.0, at(1)).granted);
    cr_assert(!draw(account, lower, 100.0, at(1)).granted);
}

Test(usage_account, costs_are_in_the_unit_of_the_limit) {
    traffic::usage_limit limit;
    limit.rate = 10.0;
    cr_assert(usage_cost(limit, 5000.0) == 1.0);
    limit.unit = traffic::usage_unit::tokens;
    limit.plain_tokens = 200.0;
    cr_assert(usage_cost(limit, 5000.0) == 5000.0);
    cr_assert(usage_cost(limit, std::nullopt) == 200.0);
    cr_assert(usage_cost(limit, 0.0) == 1.0);
}

Test(usage_account, the_keeper_of_a_settled_group_has_the_whole_limit) {
    const account_shares shares =
        shares_of({30, 88, 0, std::chrono::seconds(60)});
    cr_assert(shares.keeper == 1.0);
    cr_assert_float_eq(shares.deputy, 30.0 / 88.0, 1e-9);
    cr_assert_float_eq(shares.own, 1.0 / 88.0, 1e-9);
}

Test(usage_account, shares_of_a_partitioned_group_do_not_exceed_the_limit) {
    const std::chrono::seconds uptime(60);
    const account_shares here = shares_of({30, 30, 58, uptime});
    const account_shares there = shares_of({29, 58, 30, uptime});
    cr_assert(here.keeper + there.keeper <= 1.0 + 1e-9);
}

Test(usage_account, an_instance_just_started_does_not_take_the_whole_limit) {
    cr_assert(shares_of({1, 1, 0, milliseconds{100}}).keeper <= 0.1);
    cr_assert(shares_of({1, 1, 0, std::chrono::seconds(10)}).keeper == 1.0);
}
