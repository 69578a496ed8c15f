/// @file
/// How long a silent server is waited for.
///
/// Beside these, one timer a request ends it at the smaller of the route's
/// timeout and the caller's deadline (relay/exchange.hpp), and a connection
/// that does not come up ends after upstream::call_options::connect_timeout.
#ifndef MINTKNOT_POLICY_TIMEOUTS_HPP
#define MINTKNOT_POLICY_TIMEOUTS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/configuration.hpp>

namespace mintknot::policy {

/// @return the silence after which a prefill engine is left and the prompt is
/// read elsewhere. Log event: `prefill_again` with reason `prefill_silent`.
/// Switched off, worth fell by 0.004, 0.007 and 0.013 (ten plays or more each
/// on three deployments; chance is about 0.01).
/// @param expected time for the read, from what the engine was seen to read.
base::milliseconds prefill_timeout(base::milliseconds expected);

/// @return the silence after which a decode engine is doubted, and a resumable
/// stream goes on elsewhere. Log event: `resumed` with reason `decode_silent`.
/// Switched off, worth did not change beyond chance; without it a stream at an
/// engine that goes dark ends only with its deadline.
/// @param any_event whether the stream has had its first event.
base::milliseconds event_timeout(bool any_event);

/// @return the silence after which a plain server is doubted, and a repeatable
/// request is sent elsewhere: some target latencies, but early enough that it
/// can still be answered there.
base::milliseconds plain_timeout(const traffic::route& route);

/// @return how long a kept prefill result may be handed over, from the end of
/// the prefill. @param life for which the engine keeps it.
base::milliseconds usable_life(base::milliseconds life);

} // namespace mintknot::policy

#endif
