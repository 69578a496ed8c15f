/// @file
/// Whether a server was still up when a request was sent to it.
///
/// A server that has ended is used until its row lapses. Behind a proxy, which
/// accepts a request and then closes the connection, such a request looks as if
/// it had ended the server. An instance that is in touch knows better, as its
/// calls broke when the server ended. One that has just started, or was
/// suspended meanwhile, does not.
///
/// Inputs: when the server was last heard, and the times in which this process
/// did not run. Log event: `server_ended` with the number of `doubtful` runs.
#ifndef MINTKNOT_POLICY_SERVER_LIVENESS_HPP
#define MINTKNOT_POLICY_SERVER_LIVENESS_HPP

#include <mintknot/base/time.hpp>

#include <optional>
#include <vector>

namespace mintknot::policy {

/// Whether a server was up when a request was sent to it.
enum class server_liveness {
    doubtful, ///< It may have ended before.
    assumed,  ///< Nothing was heard of it lately; its end would have been seen.
    heard     ///< It sent something shortly before the request, or after it.
};

/// Time after its end within which a server may still be sent requests, because
/// its row has not lapsed.
inline constexpr base::milliseconds row_lapse_time{5000};

/// A time in which this process did not run: it was suspended, or not started.
struct interruption {
    base::steady_time began;
    base::steady_time ended;
};

/// Adds an interruption and forgets those that no longer matter.
void note_interruption(
    std::vector<interruption>& recent, const interruption& latest);

/// A call that broke.
struct broken_call_times {
    base::steady_time sent;
    base::steady_time broke;
    /// When this process last received something from the server, at the time
    /// when the call broke; empty: it never has.
    std::optional<base::steady_time> server_heard;
};

/// @return whether the server was up when the request was sent.
server_liveness liveness_when_sent(
    const broken_call_times& call, const std::vector<interruption>& recent);

} // namespace mintknot::policy

#endif
