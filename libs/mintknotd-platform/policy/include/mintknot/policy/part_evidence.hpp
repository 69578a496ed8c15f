/// @file
/// Detects parts of prompts that crash the engines which begin to answer them,
/// and blocks the requests that have them.
///
/// Such requests are unlike each other but for the part, so that the evidence
/// on whole requests (crash_evidence.hpp) shows nothing. All parts of a request
/// that had just begun when its engine ended are suspected, but for the last,
/// which is its own. They are told apart as follows:
/// - A part is sound if an engine has answered a request with it, or has lived
///   for sound_time since the answer began. Only crashes after that count, and
///   more of them: a part that crashes engines never is sound.
/// - Crashes at the same moment, as of a power loss, count once.
/// - Crashes soon after the start of the instance that evaluates do not count:
///   it has not seen yet which parts are sound.
/// - The part with the most crashes explains them; only what it leaves is held
///   against others. Parts that have the same crashes are blocked together:
///   only requests that have all of them are refused.
/// - After a block has ended, one more crash begins the next one.
///
/// Inputs: reports of all instances; what instances say of the soundness of
/// parts when they are asked. Log events: `part_blocked`, `part_cleared`,
/// `given_up` with `crashes_servers`.
#ifndef MINTKNOT_POLICY_PART_EVIDENCE_HPP
#define MINTKNOT_POLICY_PART_EVIDENCE_HPP

#include <mintknot/base/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mintknot::policy {

/// Crashes after which a part is blocked; more if it has ever been sound.
inline constexpr std::size_t max_part_crashes = 3;
inline constexpr std::size_t max_crashes_of_sound_part = 8;
/// Time after the start of an instance in which it learns which parts are
/// sound.
inline constexpr base::milliseconds part_learning_time{2000};
/// An engine that has written an answer for so long does not end because of it.
inline constexpr base::milliseconds sound_time{1000};

/// Parts of prompts, by ID.
using prompt_parts = std::set<std::string>;

/// When parts were last seen sound. Bounded: of two generations the earlier one
/// goes when the recent one is full.
struct sound_parts {
    std::map<std::string, base::steady_time> recent;
    std::map<std::string, base::steady_time> earlier;
};

/// A part of requests that had just begun when their engines ended.
struct suspected_part {
    /// When each server incarnation ended.
    std::map<std::string, base::steady_time> crashes;
    base::steady_time last{};
};

/// Parts whose requests are refused, if they have all of them.
struct part_block {
    prompt_parts parts;
    base::steady_time until{};
    int times = 0; ///< Number of blocks so far.
};

/// A block as exchanged between instances.
struct part_block_entry {
    prompt_parts parts;
    base::milliseconds left{0};
    int times = 0;
    std::size_t crashes = 0; ///< That led to it, for the log.
};

struct part_evidence {
    /// Earlier crashes do not count: sound parts have not been seen yet.
    base::steady_time counts_from{};
    std::map<std::string, suspected_part> suspects; ///< By part.
    sound_parts sound;
    std::map<std::string, part_block> blocked; ///< By block_key().
    /// Blocks that a sound answer has ended; late notices of them are ignored.
    std::map<std::string, base::steady_time> cleared;
    /// When the suspects are due for evaluation; empty: they are not.
    std::optional<base::steady_time> evaluate_at;
};

/// Parts that are held to crash engines together.
struct crash_cause {
    prompt_parts parts;
    std::size_t crashes = 0;
};

/// @return the parts as one text.
std::string block_key(const prompt_parts& parts);

/// Records that a request with these parts had just begun when its engine
/// ended. The same crash counts once.
void note_part_crash(
    part_evidence& evidence, const prompt_parts& parts,
    const std::string& server_incarnation, base::steady_time broke,
    base::steady_time now);

/// Records that a part was sound.
void note_sound(
    part_evidence& evidence, const std::string& part, base::steady_time at);

/// @return when the part was last sound; empty: it is not known to have been.
std::optional<base::steady_time>
last_sound(const part_evidence& evidence, const std::string& part);

/// @return the causes of crashes by what is known here, which are not blocked
/// yet. Others may know that a part is sound: they are to be asked first.
std::vector<crash_cause>
find_causes(const part_evidence& evidence, base::steady_time now);

/// Blocks a cause. @return the block, to be announced.
part_block_entry block_cause(
    part_evidence& evidence, const crash_cause& cause, base::steady_time now);

/// Applies a notice of another instance. @return true if it was not blocked
/// here before.
bool note_part_block(
    part_evidence& evidence, const part_block_entry& entry,
    base::steady_time now);

/// @return a block in force that applies to a request with these parts; null if
/// there is none. @param trial_delay for how much longer than its time this
/// instance keeps a block up, so that instances try again one after the other.
const part_block* find_part_block(
    const part_evidence& evidence, const prompt_parts& parts,
    base::milliseconds trial_delay, base::steady_time now);

/// Ends the blocks that apply to a request with these parts: an engine has
/// answered it. @return their parts.
std::vector<prompt_parts> clear_part_blocks(
    part_evidence& evidence, const prompt_parts& parts, base::steady_time now);

/// Ends one block, which another instance has cleared. @return true if it was
/// in force.
bool clear_part_block(
    part_evidence& evidence, const prompt_parts& parts, base::steady_time now);

/// @return the blocks in force.
std::vector<part_block_entry>
part_blocks(const part_evidence& evidence, base::steady_time now);

/// Removes expired entries.
void expire_parts(part_evidence& evidence, base::steady_time now);

} // namespace mintknot::policy

#endif
