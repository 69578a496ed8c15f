#include <mintknot/policy/call_charges.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace mintknot::policy;

namespace {

/// Prepays what is asked and sends one call.
int send(call_charges& charges, int calls) {
    const int before = charges.prepaid;
    charges.prepaid =
        std::max(charges.prepaid, retries_to_prepay(charges, calls));
    const int paid = charges.prepaid - before;
    note_sent(charges);
    return paid;
}

} // namespace

Test(call_charges, a_prefill_and_its_decode_are_free) {
    call_charges charges;
    cr_assert_eq(send(charges, calls_with_prefill), 0);
    note_prefill_end(charges, call_result::good);
    cr_assert_eq(send(charges, 1), 0);
}

Test(call_charges, a_second_prefill_is_paid_with_its_decode) {
    call_charges charges;
    send(charges, calls_with_prefill);
    note_prefill_end(charges, call_result::slow);
    cr_assert_eq(send(charges, calls_with_prefill), 2);
    note_prefill_end(charges, call_result::good);
    // The decode has been paid for, and so has another one: only one of the
    // prefills counts.
    cr_assert_eq(send(charges, 1), 0);
    cr_assert_eq(send(charges, 1), 0);
    cr_assert_eq(send(charges, 1), 1);
}

Test(call_charges, a_prefill_that_was_given_up_may_have_waited_in_vain) {
    call_charges charges;
    send(charges, calls_with_prefill);
    note_prefill_end(charges, call_result::slow);
    cr_assert_eq(send(charges, 1), 1);
}

Test(call_charges, a_rejected_prefill_has_arrived) {
    call_charges charges;
    send(charges, calls_with_prefill);
    note_prefill_end(charges, call_result::rejected);
    cr_assert_eq(send(charges, calls_with_prefill), 2);
    note_prefill_end(charges, call_result::good);
    cr_assert_eq(send(charges, 1), 0);
}

Test(call_charges, connections_that_failed_cost_nothing) {
    call_charges charges;
    send(charges, calls_with_prefill);
    note_prefill_end(charges, call_result::unreachable);
    cr_assert_eq(send(charges, 1), 0);
    note_decode_unreachable(charges);
    cr_assert_eq(send(charges, 1), 0);
    // The second decode that arrives is a repeat.
    cr_assert_eq(send(charges, 1), 1);
}
