#include <mintknot/policy/call_charges.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace mintknot::policy;

namespace {

/// Prepays the required retries and sends one call.
/// @return the number of retries paid.
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

Test(call_charges, a_second_prefill_is_prepaid_with_its_decode) {
    call_charges charges;
    send(charges, calls_with_prefill);
    note_prefill_end(charges, call_result::slow);
    cr_assert_eq(send(charges, calls_with_prefill), 2);
    note_prefill_end(charges, call_result::good);
    // The decode has been prepaid, and one more: only one of the prefills
    // counts.
    cr_assert_eq(send(charges, 1), 0);
    cr_assert_eq(send(charges, 1), 0);
    cr_assert_eq(send(charges, 1), 1);
}

Test(call_charges, a_prefill_that_was_given_up_counts) {
    call_charges charges;
    send(charges, calls_with_prefill);
    note_prefill_end(charges, call_result::slow);
    cr_assert_eq(send(charges, 1), 1);
}

Test(call_charges, a_rejected_prefill_counts) {
    call_charges charges;
    send(charges, calls_with_prefill);
    note_prefill_end(charges, call_result::rejected);
    cr_assert_eq(send(charges, calls_with_prefill), 2);
    note_prefill_end(charges, call_result::good);
    cr_assert_eq(send(charges, 1), 0);
}

Test(call_charges, failed_connections_do_not_count) {
    call_charges charges;
    send(charges, calls_with_prefill);
    note_prefill_end(charges, call_result::unreachable);
    cr_assert_eq(send(charges, 1), 0);
    note_decode_unreachable(charges);
    cr_assert_eq(send(charges, 1), 0);
    // The second decode that reaches a server is a retry.
    cr_assert_eq(send(charges, 1), 1);
}
