/// @file
/// Detects requests that crash the servers that run them and blocks them.
///
/// A request is identified by its digest (relay/request_digest.hpp), regardless
/// of its ID and of the instance that received it. When a server terminates
/// without notice, each instance reports the requests it had running there, and
/// a few instances collect the reports (group.hpp). A request that was running
/// in three such crashes is refused by all instances for a while.
///
/// Requests that ran beside the cause are told apart as follows:
/// - A complete answer from another server clears a request.
/// - A crash is attributed to another request that has as many crashes and
///   shorter runs, as a crash follows soon after the start of its cause.
/// - Only consecutive crashes count: the run must have begun after the previous
///   crash. If many servers terminate at once, the requests that ran on all of
///   them had been running before, while a request that causes the crashes is
///   sent anew after each.
/// - A request sent to a server that had already terminated is not counted, nor
///   one of which that is not known (server_liveness.hpp): neither the instance
///   that sent it nor the one that evaluates it has seen the server up.
///
/// Log events: `server_ended`, `request_blocked`, `request_cleared`, `given_up`
/// with `crashes_servers`.
#ifndef MINTKNOT_POLICY_CRASH_EVIDENCE_HPP
#define MINTKNOT_POLICY_CRASH_EVIDENCE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/policy/server_liveness.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::policy {

/// Number of server crashes after which a request is blocked.
inline constexpr std::size_t max_crashes = 3;

/// Time within which all instances have reported the requests that they had
/// running on a crashed server.
inline constexpr base::milliseconds crash_report_time{200};

/// Duration of the first block. The request is then allowed again; each further
/// crash doubles the duration.
inline constexpr base::milliseconds first_block_time{10 * 60 * 1000};

/// Identifies a request by its content.
struct request_key {
    std::string digest;
    std::uint64_t body_bytes = 0; ///< Lets other sizes skip the digest.
};

/// A run of a request that was interrupted by the crash of its server.
struct crash_record {
    std::string server_incarnation; ///< Server ID and incarnation.
    base::steady_time began{};
    base::steady_time broke{};
    server_liveness liveness = server_liveness::assumed; ///< When it began.
};

/// A request that was running on crashed servers.
struct crash_suspect {
    std::uint64_t body_bytes = 0;
    /// The earliest run on each server incarnation.
    std::vector<crash_record> crashes;
    base::steady_time last{};
    /// When the request is due for evaluation; empty: it is not.
    std::optional<base::steady_time> evaluate_at;
};

/// A request that is refused on all instances.
struct blocked_request {
    std::uint64_t body_bytes = 0;
    base::steady_time until{};
    int times = 0; ///< Number of blocks so far.
};

/// Suspected and blocked requests, by digest. Bounded: the suspect with the
/// fewest crashes is evicted for a new one.
struct crash_evidence {
    std::map<std::string, crash_suspect> suspects;
    /// Crash time of each server incarnation, taken from the first run that was
    /// interrupted.
    std::map<std::string, base::steady_time> ends;
    std::map<std::string, blocked_request> blocked;
    /// Servers may have ended before this time without a report to this
    /// instance: a run that began earlier counts only if its server was heard.
    base::steady_time complete_since{};
    /// Recently cleared requests; delayed block notices, and reports of runs
    /// that broke before the clearing, are ignored for them. Bounded.
    std::map<std::string, base::steady_time> cleared;
};

/// Block of a request as exchanged between instances.
struct block_entry {
    request_key key;
    base::milliseconds left{0};
    int times = 0;
};

/// Records that a request was running when its server crashed. Reports of the
/// same crash count once; those of before a recent clearing of the request only
/// tell when the server crashed.
void note_crash(
    crash_evidence& evidence, const request_key& key, const crash_record& crash,
    base::steady_time now);

/// Evaluates the suspects that are due and blocks those found to be the cause.
/// @return the new blocks.
std::vector<block_entry>
evaluate_suspects(crash_evidence& evidence, base::steady_time now);

/// @return when evaluate_suspects() is to be called next; empty if no suspect
/// is due.
std::optional<base::steady_time>
next_evaluation(const crash_evidence& evidence);

/// Clears a request after a server has answered it completely.
/// @return true if it was suspected or blocked; it is remembered as cleared
/// then.
bool clear(
    crash_evidence& evidence, const std::string& digest, base::steady_time now);

/// Remembers that a request was cleared that is neither suspected nor blocked
/// yet: reports of its crashes are still on their way.
void remember_cleared(
    crash_evidence& evidence, const std::string& digest, base::steady_time now);

/// Applies a block notice of another instance.
/// @return true if the request was not blocked here before.
bool note_block(
    crash_evidence& evidence, const block_entry& entry, base::steady_time now);

/// @return true if the request was cleared so recently that a block notice for
/// it must be older than the clearing.
bool recently_cleared(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time now);

/// @return true if a request with this body size may be blocked, so that its
/// digest must be computed.
bool may_be_blocked(
    const crash_evidence& evidence, std::uint64_t body_bytes,
    base::steady_time now);
/// @return true if a request with this body size may be a suspect or blocked.
bool may_be_known(const crash_evidence& evidence, std::uint64_t body_bytes);

/// @return remaining time of the block; empty if the request is not blocked.
std::optional<base::milliseconds> blocked_for(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time now);

/// @return the active blocks.
std::vector<block_entry>
blocks(const crash_evidence& evidence, base::steady_time now);

/// Removes expired entries.
void expire(crash_evidence& evidence, base::steady_time now);

} // namespace mintknot::policy

#endif
