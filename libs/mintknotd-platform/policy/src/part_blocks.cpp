/// @file
/// The blocks of parts that crash engines.

#include <mintknot/policy/part_evidence.hpp>

#include "request_blocks.hpp"

#include <algorithm>

namespace mintknot::policy {

namespace {

constexpr std::size_t max_part_blocks = 256;

bool is_in_force(const part_block& block, base::steady_time now) {
    return block.until > now;
}

bool includes(const prompt_parts& all, const prompt_parts& some) {
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

part_block_entry entry_of(const part_block& block, base::steady_time now) {
    return {block.parts, base::time_left(block.until, now), block.times};
}

part_block& block_of(part_evidence& evidence, const prompt_parts& parts) {
    const std::string key = block_key(parts);
    if (!evidence.blocked.contains(key) &&
        evidence.blocked.size() >= max_part_blocks)
        evidence.blocked.erase(std::min_element(
            evidence.blocked.begin(), evidence.blocked.end(),
            [](const auto& a, const auto& b) {
                return a.second.until < b.second.until;
            }));
    part_block& block = evidence.blocked[key];
    block.parts = parts;
    return block;
}

} // namespace

std::string block_key(const prompt_parts& parts) {
    std::string key;
    for (const std::string& part : parts)
        key += (key.empty() ? "" : ",") + part;
    return key;
}

part_block_entry block_cause(
    part_evidence& evidence, const crash_cause& cause, base::steady_time now) {
    part_block& block = block_of(evidence, cause.parts);
    ++block.times;
    block.until = now + block_time(block.times);
    part_block_entry entry = entry_of(block, now);
    entry.crashes = cause.crashes;
    return entry;
}

bool note_part_block(
    part_evidence& evidence, const part_block_entry& entry,
    base::steady_time now) {
    const auto cleared = evidence.cleared.find(block_key(entry.parts));
    if (entry.parts.empty() || entry.left <= base::milliseconds{0} ||
        (cleared != evidence.cleared.end() &&
         now - cleared->second < cleared_lifetime))
        return false;
    part_block& block = block_of(evidence, entry.parts);
    const bool known = is_in_force(block, now);
    block.times = std::max(block.times, entry.times);
    block.until = std::max(
        block.until, now + std::min(entry.left, block_time(block.times)));
    return !known;
}

const part_block* find_part_block(
    const part_evidence& evidence, const prompt_parts& parts,
    base::milliseconds trial_delay, base::steady_time now) {
    for (const auto& [key, block] : evidence.blocked)
        if (is_in_force(block, now - trial_delay) &&
            includes(parts, block.parts))
            return &block;
    return nullptr;
}

std::vector<prompt_parts> clear_part_blocks(
    part_evidence& evidence, const prompt_parts& parts, base::steady_time now) {
    std::vector<prompt_parts> ended;
    for (const auto& [key, block] : evidence.blocked)
        if (includes(parts, block.parts))
            ended.push_back(block.parts);
    for (const prompt_parts& block : ended)
        clear_part_block(evidence, block, now);
    return ended;
}

bool clear_part_block(
    part_evidence& evidence, const prompt_parts& parts, base::steady_time now) {
    const std::string key = block_key(parts);
    evidence.cleared[key] = now;
    const auto found = evidence.blocked.find(key);
    if (found == evidence.blocked.end())
        return false;
    const bool was_in_force = is_in_force(found->second, now);
    evidence.blocked.erase(found);
    return was_in_force;
}

std::vector<part_block_entry>
part_blocks(const part_evidence& evidence, base::steady_time now) {
    std::vector<part_block_entry> result;
    for (const auto& [key, block] : evidence.blocked)
        if (is_in_force(block, now))
            result.push_back(entry_of(block, now));
    return result;
}

} // namespace mintknot::policy
