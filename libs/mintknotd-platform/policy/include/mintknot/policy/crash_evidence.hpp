/// @file
/// Which requests crash the servers that run them, and are therefore refused.
///
/// A request is known by its digest (relay/request_digest.hpp), whatever its ID
/// and the instance that it comes to. Whenever a server has ended without a
/// word, each instance tells which requests it had running there; some
/// instances put this together (group.hpp, crash_evaluators()). A request
/// under which three servers have ended is refused everywhere for a while.
///
/// Others that ran beside it look like it. What tells them apart: they get
/// whole answers elsewhere, which clears them; ends that they have seen are put
/// down to a request with as many ends and shorter runs, as a crash comes soon
/// after the start of its cause; and only ends that followed each other count.
/// Where many servers end at once, what ran on all of them was there before,
/// while a request that ends one after the other begins anew each time. What
/// was sent to a server that had ended already is not to blame for that.
///
/// Log events: `server_ended`, `request_blocked`, `request_cleared`, `given_up`
/// with `crashes_servers`.
#ifndef MINTKNOT_POLICY_CRASH_EVIDENCE_HPP
#define MINTKNOT_POLICY_CRASH_EVIDENCE_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::policy {

/// Servers that end under a request before it is refused.
inline constexpr std::size_t max_crashes = 3;

/// Within this time all instances have told what they had running on a server
/// that has ended.
inline constexpr base::milliseconds crash_report_time{200};

/// For how long a request is refused at first. Then it is tried again; each
/// further crash doubles the time.
inline constexpr base::milliseconds first_block_time{10 * 60 * 1000};

/// Which request it is.
struct request_key {
    std::string digest;
    std::uint64_t body_bytes = 0; ///< Spares digests of bodies of other sizes.
};

/// A run of a request that broke when its server ended.
struct crash_record {
    std::string server_incarnation; ///< The server's ID and which life of it.
    base::steady_time began{};
    base::steady_time broke{};
};

/// A request that ran on servers that have ended.
struct crash_suspect {
    std::uint64_t body_bytes = 0;
    /// The first run on each server's life.
    std::vector<crash_record> crashes;
    base::steady_time last{};
    std::optional<base::steady_time> evaluate_at;
};

/// A request that is refused.
struct blocked_request {
    std::uint64_t body_bytes = 0;
    base::steady_time until{};
    int times = 0; ///< How often it has been blocked.
};

/// All that is known; by digest. Bounded: the request with the fewest crashes
/// makes room for a new one.
struct crash_evidence {
    std::map<std::string, crash_suspect> suspects;
    /// When each life of a server ended, by the first run that broke.
    std::map<std::string, base::steady_time> ends;
    std::map<std::string, blocked_request> blocked;
    /// Requests that were cleared a moment ago: older news does not block them.
    std::map<std::string, base::steady_time> cleared;
};

/// A block as instances tell each other of it.
struct block_entry {
    request_key key;
    base::milliseconds left{0};
    int times = 0;
};

/// Takes the end of a server under a request; one end counts once.
void note_crash(
    crash_evidence& evidence, const request_key& key, const crash_record& crash,
    base::steady_time now);

/// Judges the requests that are due. @return those that are refused from now
/// on.
std::vector<block_entry>
evaluate_suspects(crash_evidence& evidence, base::steady_time now);

/// @return when judge() is to be called next; nothing: no request is due.
std::optional<base::steady_time>
next_evaluation(const crash_evidence& evidence);

/// A server has given a whole answer to the request: it is cleared.
/// @return true if it was suspected or refused.
bool clear(
    crash_evidence& evidence, const std::string& digest, base::steady_time now);

/// Takes the news of another instance. @return true if it is new here.
bool note_block(
    crash_evidence& evidence, const block_entry& entry, base::steady_time now);

/// @return true if the request was cleared so lately that news of a block of it
/// are older.
bool recently_cleared(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time now);

/// @return true if the digest of a request with such a body is worth making.
bool may_be_blocked(
    const crash_evidence& evidence, std::uint64_t body_bytes,
    base::steady_time now);
bool may_be_known(const crash_evidence& evidence, std::uint64_t body_bytes);

/// @return for how much longer the request is refused; nothing: it is not.
std::optional<base::milliseconds> blocked_for(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time now);

/// @return the blocks that are in force.
std::vector<block_entry>
blocks(const crash_evidence& evidence, base::steady_time now);

/// Drops what is long past.
void expire(crash_evidence& evidence, base::steady_time now);

} // namespace mintknot::policy

#endif
