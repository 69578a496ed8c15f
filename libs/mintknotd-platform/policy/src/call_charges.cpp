#include <mintknot/policy/call_charges.hpp>

namespace mintknot::policy {

namespace {

void take_up(call_charges& charges) {
    if (charges.prefill_taken_up)
        return;
    charges.prefill_taken_up = true;
    --charges.arrivals;
}

} // namespace

int repeats_to_prepay(const call_charges& charges, int calls) {
    if (charges.arrivals > 0)
        return calls;
    // The next call is the first that counts; a prefill does not count as long
    // as no engine has taken one up.
    const bool first_is_free = calls == 1 || !charges.prefill_taken_up;
    return first_is_free ? 0 : calls - 1;
}

void note_sent(call_charges& charges) {
    if (charges.arrivals > 0)
        --charges.prepaid;
    ++charges.arrivals;
}

void note_prefill_end(call_charges& charges, call_result result) {
    switch (result) {
    case call_result::good:
    case call_result::failed:
    case call_result::slow:
        take_up(charges);
        return;
    case call_result::unreachable:
        --charges.arrivals;
        return;
    case call_result::rejected:
    case call_result::silent:
    case call_result::misdirected:
        return;
    }
}

void note_decode_unreachable(call_charges& charges) {
    --charges.arrivals;
}

} // namespace mintknot::policy
