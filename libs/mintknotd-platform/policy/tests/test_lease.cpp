#include <mintknot/policy/lease.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
const lease_terms terms;
using std::chrono::milliseconds;

} // namespace

Test(lease, nobody_takes_what_has_not_been_read) {
    cr_assert(!may_take({}, "me", terms, start));
}

Test(lease, a_missing_row_and_the_own_one_are_free) {
    lease_view view;
    observe(view, 0, "", start);
    cr_assert(may_take(view, "me", terms, start));
    observe(view, 7, "me", start);
    cr_assert(may_take(view, "me", terms, start));
}

Test(lease, anothers_row_must_rest_until_its_holder_cannot_order) {
    lease_view view;
    observe(view, 7, "other", start);
    const auto takeover_delay =
        terms.length + terms.order_period + terms.margin;
    cr_assert(
        !may_take(view, "me", terms, start + takeover_delay - milliseconds(1)));
    cr_assert(may_take(view, "me", terms, start + takeover_delay));
    // A new version begins the rest anew; seeing it again does not.
    observe(view, 8, "other", start + takeover_delay);
    observe(view, 8, "other", start + takeover_delay + milliseconds(500));
    cr_assert(!may_take(
        view, "me", terms, start + takeover_delay + milliseconds(600)));
    cr_assert(
        may_take(view, "me", terms, start + takeover_delay + takeover_delay));
}

Test(lease, between_orders_of_two_holders_lies_a_lease) {
    // The worst case: the old holder orders at the very end of its use, which
    // it counts from before its call; the new one has seen the row just when
    // it was written.
    const held_lease old_lease{7, start};
    const auto last_order = start + terms.order_period - milliseconds(1);
    cr_assert(may_order(old_lease, terms, last_order));
    cr_assert(!may_order(old_lease, terms, start + terms.order_period));
    lease_view view;
    observe(view, 7, "old", start);
    for (auto now = start; now < last_order + terms.length;
         now += milliseconds(10))
        cr_assert(!may_take(view, "new", terms, now));
}

Test(lease, without_a_fence_nothing_is_ordered) {
    cr_assert(!may_order({0, start}, terms, start));
}
