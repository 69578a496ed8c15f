/// @file
/// The promises that a soak checks, over what callers and servers have seen.
#ifndef MINTKNOT_SOAK_SOAK_CHECKS_HPP
#define MINTKNOT_SOAK_SOAK_CHECKS_HPP

#include <mintknot/base/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::soak {

/// The kinds of requests of a soak.
enum class request_kind { safe, unsafe, stream, resumable };

/// What a caller has seen of one request.
struct caller_record {
    std::string id;
    request_kind kind = request_kind::safe;
    std::size_t instance = 0; ///< That it was sent to.
    base::steady_time sent{};
    base::steady_time ended{};
    int status = 0;     ///< 0: no answer at all.
    bool whole = false; ///< The answer was complete.
    std::string body;
    /// Of a request that crashes each server that runs it: what it sends, the
    /// same in all tries. Empty: any other request.
    std::string mark;
    bool retry_after = false;
    base::milliseconds retry_after_time{0}; ///< That the answer names.
    /// The connection ended without a byte of an answer.
    bool unanswered = false;
    /// When the caller went away before its answer was whole.
    std::optional<base::steady_time> left_at;
    /// The first part of its prompt; empty: it has no parts.
    std::string first_part;
    /// A part of its prompt that crashes each engine that begins to write an
    /// answer; empty: it is sound.
    std::string crashing_part;
    /// The request that brought the first event of a stream that this one
    /// takes up; empty: it begins anew.
    std::string resumes;
    int last_event = 0; ///< That the caller has of such a stream.
    /// The connection did not come up, or ended without a byte of an answer,
    /// and the caller has tried again elsewhere.
    bool tried_again = false;
};

/// Runs of each request, as the servers have noted them.
using run_counts = std::map<std::string, int>;

/// Something that a server has noted about a request.
struct server_event {
    std::string request;
    std::string server;
    base::steady_time at;
};

/// What was done to a part of the system: "store", or "instance-", "server-",
/// "store-" (the way of an instance to the store) and a number.
struct disturbance {
    std::string part;
    base::steady_time from;
    base::steady_time until = base::steady_time::max();
};

/// @return true if something was done to the part within contact_time before.
bool is_disturbed(
    const std::vector<disturbance>& all, const std::string& part,
    base::steady_time at);

/// @return true if anything was done to the part in that time.
bool is_disturbed_between(
    const std::vector<disturbance>& all, const std::string& part,
    base::steady_time from, base::steady_time until);

/// @return true if nothing was done lately to the instance, to its way to the
/// store or to the store.
bool is_in_touch(
    const std::vector<disturbance>& all, std::size_t instance,
    base::steady_time at);

/// What the servers have noted, by request.
struct server_notes {
    run_counts runs;
    std::map<std::string, base::steady_time> last_run;
    /// Came to a server later than the drain bound after it had said that it
    /// leaves.
    std::vector<server_event> after_leaving;
    /// Came with the prefill result of another request.
    std::vector<std::string> of_another;
    /// Arrivals of requests that crash servers, and the crashes.
    std::vector<server_event> marked;
    std::vector<server_event> crashes;
    /// Answers that said that their server leaves, asked for rest or advertised
    /// a limit; and the requests that came to such servers.
    std::vector<server_event> said_leaving;
    std::vector<server_event> said_rest;
    std::vector<server_event> said_limit;
    std::vector<server_event> arrivals;
};

/// Takes one note of a server. @param what "run", "leaving", "mixed", "marked"
/// "crash", "said-leaving", "said-rest", "said-limit" or "arrival".
void note(
    server_notes& notes, const std::string& what, const std::string& request,
    base::steady_time at, const std::string& server);

/// @return the body that the stand-ins give to a request.
std::string expected_body(const caller_record& record);

/// @return a line for each promise that was broken, whatever happened.
std::vector<std::string> broken_promises(
    const std::vector<caller_record>& records, const server_notes& notes);

/// @return a line for each request that came late to a server that leaves
/// although nothing had been done lately to the instance that took it, to its
/// way to the store, to the store or to the server.
std::vector<std::string> broken_in_touch(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances);

/// @return a line for each request that has crashed three servers and was sent
/// to servers in more than three tries later, by instances to which, and to
/// whose way to the store, nothing had been done lately; and for each other
/// request that was taken for one of these.
std::vector<std::string> broken_by_crashes(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances);

/// @return a line for each request that came to a server although an answer had
/// told its instance long ago that the server leaves, and for each server that
/// got more requests from an instance than it had asked that one to send while
/// it rests; instances that something had been done to lately are excused.
std::vector<std::string> broken_by_words(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances);

/// Requests per second that servers accept from all instances together.
using limits_by_server = std::map<std::string, double>;

/// @return a line for each server that received, within four seconds, more than
/// one and a half times its limit plus five requests. Counted from three
/// seconds after it first advertised the limit, and only from instances that
/// received the limit and have not been disturbed since.
std::vector<std::string> broken_by_limits(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances,
    const limits_by_server& limits);

/// @return a line for each of these servers with the requests per second that
/// it received once its limit had to be applied.
std::vector<std::string> measured_rates(
    const std::vector<caller_record>& records, const server_notes& notes,
    const limits_by_server& limits);

/// @return a line for each promise that was broken although there was only
/// planned work: nothing may be cut off, a server that leaves gets nothing
/// new, and nothing is run for a caller that has left.
std::vector<std::string> broken_by_planned_work(
    const std::vector<caller_record>& records, const server_notes& notes);

/// @return a line for each 503 that does not tell its caller when to return.
std::vector<std::string>
broken_by_refusals(const std::vector<caller_record>& records);

} // namespace mintknot::soak

#endif
