#include <mintknot/policy/part_evidence.hpp>

#include "request_blocks.hpp"

#include <mintknot/policy/crash_evidence.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

constexpr std::size_t max_suspected_parts = 2048;
/// Parts of one generation that are remembered as sound.
constexpr std::size_t max_sound_parts = 4096;
/// Crashes kept for a part; more do not change the result.
constexpr std::size_t max_crashes_kept = 32;
/// How long a crash counts.
constexpr base::milliseconds crash_lifetime{10 * 60 * 1000};
/// Engines that end within this time have ended for one reason.
constexpr base::milliseconds simultaneous_time{20};

/// Evicts the suspect with the fewest crashes, so that many parts with one
/// crash each do not displace those with more.
void make_room(std::map<std::string, suspected_part>& suspects) {
    if (suspects.size() < max_suspected_parts)
        return;
    suspects.erase(std::min_element(
        suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
            const std::size_t left = a.second.crashes.size();
            const std::size_t right = b.second.crashes.size();
            return left != right ? left < right : a.second.last < b.second.last;
        }));
}

/// Ends of server incarnations.
using crash_map = std::map<std::string, base::steady_time>;

/// Crashes that certain parts, all of them together, are held to have caused.
struct explanation {
    prompt_parts parts;
    crash_map crashes;
};

/// @return the crashes since the part was last sound.
crash_map
crashes_since_sound(const part_evidence& evidence, const std::string& part) {
    const auto suspect = evidence.suspects.find(part);
    if (suspect == evidence.suspects.end())
        return {};
    crash_map crashes = suspect->second.crashes;
    const auto sound = last_sound(evidence, part);
    std::erase_if(crashes, [&](const auto& crash) {
        return sound && crash.second <= *sound;
    });
    return crashes;
}

/// @return the crashes of a part that nothing else explains; empty if it is
/// itself part of an explanation that has them all.
crash_map open_crashes(
    const part_evidence& evidence, const std::string& part,
    const std::vector<explanation>& explanations) {
    crash_map open = crashes_since_sound(evidence, part);
    for (const explanation& known : explanations)
        if (!known.parts.contains(part) || known.crashes == open)
            std::erase_if(open, [&known](const auto& crash) {
                return known.crashes.contains(crash.first);
            });
    return open;
}

/// @return the number of crashes; those at the same moment count once.
std::size_t count_crashes(const crash_map& crashes) {
    std::vector<base::steady_time> times;
    for (const auto& [incarnation, at] : crashes)
        times.push_back(at);
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    for (std::size_t i = 0; i < times.size(); ++i)
        if (i == 0 || times[i] - times[i - 1] > simultaneous_time)
            ++count;
    return count;
}

/// @return true if the part has been blocked before.
bool was_blocked(const part_evidence& evidence, const std::string& part) {
    return evidence.blocked.contains(block_key({part}));
}

std::size_t
crashes_needed(const part_evidence& evidence, const std::string& part) {
    if (was_blocked(evidence, part))
        return 1;
    return last_sound(evidence, part) ? max_crashes_of_sound_part
                                      : max_part_crashes;
}

/// @return what the blocks in force explain: the crashes of all their parts.
std::vector<explanation>
explanations_by_blocks(const part_evidence& evidence, base::steady_time now) {
    std::vector<explanation> found;
    for (const auto& [key, block] : evidence.blocked) {
        if (block.until <= now)
            continue;
        crash_map common = crashes_since_sound(evidence, *block.parts.begin());
        for (const std::string& part : block.parts) {
            const crash_map own = crashes_since_sound(evidence, part);
            std::erase_if(common, [&own](const auto& crash) {
                return !own.contains(crash.first);
            });
        }
        found.push_back({block.parts, std::move(common)});
    }
    return found;
}

/// @return the part with the most open crashes, and all that have the same
/// ones; no parts if none has enough.
explanation strongest_cause(
    const part_evidence& evidence,
    const std::vector<explanation>& explanations) {
    explanation cause;
    std::size_t most = 0;
    for (const auto& [part, suspect] : evidence.suspects) {
        const crash_map open = open_crashes(evidence, part, explanations);
        const std::size_t count = count_crashes(open);
        if (count < crashes_needed(evidence, part) || count < most)
            continue;
        if (count > most) {
            cause = {{}, open};
            most = count;
        }
        if (open == cause.crashes)
            cause.parts.insert(part);
    }
    return cause;
}

} // namespace

void note_part_crash(
    part_evidence& evidence, const prompt_parts& parts,
    const std::string& server_incarnation, base::steady_time broke,
    base::steady_time now) {
    if (broke < evidence.counts_from)
        return;
    for (const std::string& part : parts) {
        if (!evidence.suspects.contains(part))
            make_room(evidence.suspects);
        suspected_part& suspect = evidence.suspects[part];
        suspect.last = now;
        const auto [crash, fresh] =
            suspect.crashes.emplace(server_incarnation, broke);
        crash->second = std::min(crash->second, broke);
        if (suspect.crashes.size() > max_crashes_kept)
            suspect.crashes.erase(std::min_element(
                suspect.crashes.begin(), suspect.crashes.end(),
                [](const auto& a, const auto& b) {
                    return a.second < b.second;
                }));
        if (suspect.crashes.size() >= crashes_needed(evidence, part) &&
            !evidence.evaluate_at)
            evidence.evaluate_at = now + crash_report_time;
    }
}

void note_sound(
    part_evidence& evidence, const std::string& part, base::steady_time at) {
    sound_parts& sound = evidence.sound;
    if (!sound.recent.contains(part) &&
        sound.recent.size() >= max_sound_parts) {
        sound.earlier = std::move(sound.recent);
        sound.recent.clear();
    }
    base::steady_time& last = sound.recent[part];
    last = std::max(last, at);
}

std::optional<base::steady_time>
last_sound(const part_evidence& evidence, const std::string& part) {
    for (const auto* known : {&evidence.sound.recent, &evidence.sound.earlier})
        if (const auto found = known->find(part); found != known->end())
            return found->second;
    return std::nullopt;
}

std::vector<crash_cause>
find_causes(const part_evidence& evidence, base::steady_time now) {
    std::vector<explanation> explanations =
        explanations_by_blocks(evidence, now);
    std::vector<crash_cause> causes;
    while (true) {
        const explanation cause = strongest_cause(evidence, explanations);
        if (cause.parts.empty())
            return causes;
        explanations.push_back(cause);
        causes.push_back({cause.parts, count_crashes(cause.crashes)});
    }
}

void expire_parts(part_evidence& evidence, base::steady_time now) {
    for (auto& [part, suspect] : evidence.suspects)
        std::erase_if(suspect.crashes, [now](const auto& crash) {
            return crash.second + crash_lifetime <= now;
        });
    std::erase_if(evidence.suspects, [](const auto& entry) {
        return entry.second.crashes.empty();
    });
    std::erase_if(evidence.blocked, [now](const auto& entry) {
        return entry.second.until + block_history_time <= now;
    });
    std::erase_if(evidence.cleared, [now](const auto& entry) {
        return now - entry.second >= cleared_lifetime;
    });
}

} // namespace mintknot::policy
