#include <mintknot/policy/lease.hpp>

#include <criterion/criterion.h>

using namespace mintknot;
using namespace mintknot::policy;

namespace {

const base::steady_time start = base::steady_time{} + std::chrono::hours(1);
const lease_terms terms;
using std::chrono::milliseconds;

} // namespace

Test(lease, an_unread_row_cannot_be_taken) {
    cr_assert(!may_take({}, "me", terms, start));
}

Test(lease, a_missing_row_and_the_own_row_can_be_taken) {
    lease_view view;
    observe(view, 0, "", start);
    cr_assert(may_take(view, "me", terms, start));
    observe(view, 7, "me", start);
    cr_assert(may_take(view, "me", terms, start));
}

Test(lease, a_foreign_row_can_be_taken_once_its_holder_is_inactive) {
    lease_view view;
    observe(view, 7, "other", start);
    const auto takeover_delay =
        terms.length + terms.order_period + terms.margin;
    cr_assert(
        !may_take(view, "me", terms, start + takeover_delay - milliseconds(1)));
    cr_assert(may_take(view, "me", terms, start + takeover_delay));
    // A new version restarts the wait; reading it again does not.
    observe(view, 8, "other", start + takeover_delay);
    observe(view, 8, "other", start + takeover_delay + milliseconds(500));
    cr_assert(!may_take(
        view, "me", terms, start + takeover_delay + milliseconds(600)));
    cr_assert(
        may_take(view, "me", terms, start + takeover_delay + takeover_delay));
}

Test(lease, orders_of_two_holders_are_a_lease_length_apart) {
    // Worst case: the old holder sends an order at the very end of its order
    // period, which starts before its acquiring call, and the new holder has
    // read the row at the time it was written.
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

Test(lease, no_order_is_sent_without_a_fence) {
    cr_assert(!may_order({0, start}, terms, start));
}
