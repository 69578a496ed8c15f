/// @file
/// Which calls of a generation request cost a repeat of the allowance.
///
/// The bound of the settings counts the calls that arrive at servers for one
/// request: the first is free, each further one is a repeat. The prefill that
/// is taken up by an engine does not count. A decode is paid for before its
/// prefill is sent: else a prompt would be read whose answer may not be asked
/// for. Log event: `given_up` with the reason `retry_allowance_spent`.
#ifndef MINTKNOT_POLICY_CALL_CHARGES_HPP
#define MINTKNOT_POLICY_CALL_CHARGES_HPP

#include <mintknot/policy/server_health.hpp>

namespace mintknot::policy {

/// The calls of one generation request, as far as they are charged.
struct call_charges {
    int arrivals = 0; ///< Calls that count, or may count still.
    int prepaid = 0;  ///< Repeats taken from the allowance and not used yet.
    bool prefill_executed = false; ///< An engine has worked on a prefill.
};

/// Calls that are planned when a prefill is sent: it and the decode.
inline constexpr int calls_with_prefill = 2;

/// @return how many repeats must stand prepaid, those counted in that are, so
/// that the first of so many calls may be sent.
int retries_to_prepay(const call_charges& charges, int calls);

/// A call goes out. Precondition: retries_to_prepay() have been prepaid.
void note_sent(call_charges& charges);

/// A prefill has ended with that result.
void note_prefill_end(call_charges& charges, call_result result);

/// No connection came up for a decode: it has not arrived anywhere.
void note_decode_unreachable(call_charges& charges);

} // namespace mintknot::policy

#endif
