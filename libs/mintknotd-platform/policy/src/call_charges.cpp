#include <mintknot/policy/call_charges.hpp>

namespace mintknot::policy {

namespace {

/// One prefill does not count, whichever it was: what was paid for one that was
/// sent behind another call is there for the next.
void exclude_prefill(call_charges& charges) {
    if (charges.prefill_executed)
        return;
    charges.prefill_executed = true;
    --charges.arrivals;
    if (charges.arrivals > 0)
        ++charges.prepaid;
}

} // namespace

int retries_to_prepay(const call_charges& charges, int calls) {
    if (charges.arrivals > 0)
        return calls;
    // The next call is the first that counts; a prefill does not count as long
    // as no engine has taken one up.
    const bool first_is_free = calls == 1 || !charges.prefill_executed;
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
        exclude_prefill(charges);
        return;
    case call_result::unreachable:
        --charges.arrivals;
        return;
    // A slow one may have waited in the engine's queue until it was given up.
    // Counted as taken up, the calls of a burst came to 1.07 and 1.15 of the
    // bound (67 instances, 45 engines, two plays).
    case call_result::slow:
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
