/// @file
/// Which software version began a stream, and which instances remember it.
///
/// What engines of two versions write does not fit together, so a stream goes
/// on only at the version that began it. The instance that passed on its first
/// event may be gone when the caller takes the stream up, so a few others are
/// told before. They are chosen by rendezvous hashing, over data centres.
///
/// Inputs: beginnings of streams, answers of other instances. Log events:
/// `taken_up`, `origins_evicted`, `given_up` with `version_unknown`,
/// `version_unanswered` or `version_gone`.
#ifndef MINTKNOT_POLICY_STREAM_ORIGIN_HPP
#define MINTKNOT_POLICY_STREAM_ORIGIN_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mintknot::policy {

/// Instances that are told of the beginning of a stream.
inline constexpr std::size_t origin_holders = 3;
/// Instances that are asked for it: more, as views of the group may differ.
inline constexpr std::size_t origin_respondents = 6;
/// Streams that one instance remembers.
inline constexpr std::size_t max_origins = 32768;
/// Time after its start by which an instance has heard all others.
inline constexpr base::milliseconds group_discovery_time{1500};
/// Time for which a beginning is remembered beyond the timeout of its route.
inline constexpr base::milliseconds origin_grace{30000};

/// @return true if a stream may go on from one version to the other. An unknown
/// version, the empty text, is equal to none.
bool is_same_version(std::string_view left, std::string_view right);

/// @return the key of the stream that a request began: a digest, so that it has
/// the same length whatever the caller sends.
std::string
stream_key(std::string_view organisation, std::string_view request_id);

/// The beginning of a stream.
struct stream_origin {
    std::string version; ///< Empty: two were told, so that none counts.
    base::steady_time noted{};
    base::steady_time until{};
};

/// What an instance remembers. Bounded: the oldest entry goes first.
struct origin_table {
    std::unordered_map<std::string, stream_origin> by_stream;
    std::deque<std::string> by_age; ///< Keys, the oldest first.
    std::uint64_t evicted = 0;      ///< Before their time, since the start.
};

/// Remembers which version began a stream.
void note_origin(
    origin_table& table, const std::string& stream, const std::string& version,
    base::milliseconds life, base::steady_time now);

/// @return the beginning of a stream; null if it is not known.
const stream_origin* find_origin(
    const origin_table& table, const std::string& stream,
    base::steady_time now);

/// An instance and where it is.
struct instance_location {
    std::string host;
    std::string data_centre;
};

/// @return the hosts that remember a stream, the most likely first: the first
/// one of each data centre, then the second of each, and so on.
std::vector<std::string> origin_hosts(
    const std::string& stream, const std::vector<instance_location>& instances,
    std::size_t count);

/// What is known of a stream that a caller takes up.
enum class origin_verdict {
    known,        ///< An instance remembers its version.
    only_version, ///< Its service has had one version for long enough.
    unknown,      ///< Nobody remembers it.
    unanswered    ///< An instance that may remember it has not answered.
};

std::string_view to_string(origin_verdict value) noexcept;

/// The answers of the instances that were asked for one stream.
struct origin_answers {
    std::optional<std::string> version;      ///< Of one that remembers it.
    std::optional<std::string> only_version; ///< See only_version().
    bool versions_differ = false; ///< Instances name different ones as only.
    std::size_t silent = 0;       ///< Instances that have not answered.
    /// The instance that asks has just started, and does not know all others.
    bool group_unknown = false;
};

/// Takes what one instance says is the only version of the service.
void note_only_version(origin_answers& answers, const std::string& version);

/// Whether a stream may go on.
struct origin_decision {
    origin_verdict verdict = origin_verdict::unknown;
    std::string version; ///< At which it may go on; empty: it may not.
    /// When its caller may try again, if it may not go on now.
    base::milliseconds retry_after{0};
};

origin_decision decide_origin(const origin_answers& answers);

} // namespace mintknot::policy

#endif
