/// @file
/// How long to wait for a server that sends nothing.
///
/// In addition, one timer per request ends it at the smaller of the route's
/// timeout and the caller's deadline (relay/exchange.hpp), and a connection
/// that cannot be established is given up after
/// upstream::call_options::connect_timeout.
#ifndef MINTKNOT_POLICY_TIMEOUTS_HPP
#define MINTKNOT_POLICY_TIMEOUTS_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/traffic/configuration.hpp>

namespace mintknot::policy {

/// @return the time without data after which a prefill engine is given up and
/// the prompt is read by another one. Log event: `prefill_again` with reason
/// `prefill_silent`. Without this timeout the net benefit fell by 0.004,
/// 0.007 and 0.013 (ten simulated runs or more each on three deployments;
/// chance is about 0.01).
/// @param expected prefill time, from the observed rate of the engine.
base::milliseconds prefill_timeout(base::milliseconds expected);

/// @return the time without data after which another engine is looked for that
/// may continue a resumable stream; the silent call stays open until then. Log
/// events: `decode_silent`, `resumed` with reason `decode_silent`. Without this
/// timeout the net benefit did not change beyond chance, but a stream on an
/// engine that stops sending ends only with its deadline.
/// @param any_event whether the stream has had its first event.
base::milliseconds event_timeout(bool any_event);

/// How long a silent decode call stays open after the request was sent to
/// another engine, at most: engines reject at once what they do not run, and
/// two engines must not work on a stream 400 ms after it has continued.
inline constexpr base::milliseconds silent_call_overlap{200};

/// @return the time without data after which a plain server is considered
/// failed, and a repeatable request is sent to another one: a few target
/// latencies, but early enough that the other one can still answer.
base::milliseconds plain_timeout(const traffic::route& route);

/// @return how long after the end of a prefill its result may still be handed
/// over to a decode engine.
/// @param lifetime how long the prefill engine keeps the result.
base::milliseconds hand_over_window(base::milliseconds lifetime);

} // namespace mintknot::policy

#endif
