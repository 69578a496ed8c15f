/// @file
/// Decides which calls of a generation request consume a retry.
///
/// The configured bound counts the calls of a request that reach servers: the
/// first is free, each further one is a retry. One prefill that an engine has
/// executed does not count. The retry for a decode is reserved before its
/// prefill is sent; otherwise a prompt could be processed without a retry left
/// for the decode. Log event: `given_up` with the reason
/// `retry_allowance_spent`.
#ifndef MINTKNOT_POLICY_CALL_CHARGES_HPP
#define MINTKNOT_POLICY_CALL_CHARGES_HPP

#include <mintknot/policy/server_health.hpp>

namespace mintknot::policy {

/// Accounting of the calls of one generation request.
struct call_charges {
    int arrivals = 0; ///< Calls that count or may still count.
    int prepaid = 0;  ///< Retries taken from the allowance but not yet used.
    bool prefill_executed = false; ///< An engine has executed a prefill.
};

/// Number of calls planned when a prefill is sent: the prefill and the decode.
inline constexpr int calls_with_prefill = 2;

/// @return the value that `call_charges::prepaid` must have before the first of
/// `calls` planned calls may be sent.
int retries_to_prepay(const call_charges& charges, int calls);

/// Records that a call is sent. Precondition: retries_to_prepay() retries have
/// been prepaid.
void note_sent(call_charges& charges);

/// Records the result of a prefill.
void note_prefill_end(call_charges& charges, call_result result);

/// Records that the connection for a decode failed, so that it does not count.
void note_decode_unreachable(call_charges& charges);

} // namespace mintknot::policy

#endif
