#include "request_blocks.hpp"

#include <algorithm>

namespace mintknot::policy {

namespace {

constexpr std::size_t max_blocked = 1024;
constexpr int max_doublings = 5;
constexpr std::size_t max_cleared = 4096;

bool is_in_force(const blocked_request& block, base::steady_time now) {
    return block.until > now;
}

void make_room(std::map<std::string, base::steady_time>& cleared) {
    if (cleared.size() < max_cleared)
        return;
    cleared.erase(std::min_element(
        cleared.begin(), cleared.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
}

void make_room(std::map<std::string, blocked_request>& blocked) {
    if (blocked.size() < max_blocked)
        return;
    blocked.erase(std::min_element(
        blocked.begin(), blocked.end(), [](const auto& a, const auto& b) {
            return a.second.until < b.second.until;
        }));
}

block_entry entry_of(
    const std::string& digest, const blocked_request& block,
    base::steady_time now) {
    return {
        {digest, block.body_bytes},
        base::time_left(block.until, now),
        block.times};
}

} // namespace

base::milliseconds block_time(int times) {
    return first_block_time * (1 << std::min(times - 1, max_doublings));
}

block_entry add_block(
    crash_evidence& evidence, const request_key& key, base::steady_time now) {
    if (!evidence.blocked.contains(key.digest))
        make_room(evidence.blocked);
    blocked_request& block = evidence.blocked[key.digest];
    block.body_bytes = key.body_bytes;
    ++block.times;
    block.until = now + block_time(block.times);
    return entry_of(key.digest, block, now);
}

bool cleared_after(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time time) {
    const auto found = evidence.cleared.find(digest);
    return found != evidence.cleared.end() && found->second >= time;
}

bool clear(
    crash_evidence& evidence, const std::string& digest,
    base::steady_time now) {
    const bool suspected = evidence.suspects.erase(digest) > 0;
    const bool blocked = evidence.blocked.erase(digest) > 0;
    if (suspected || blocked)
        remember_cleared(evidence, digest, now);
    return suspected || blocked;
}

void remember_cleared(
    crash_evidence& evidence, const std::string& digest,
    base::steady_time now) {
    if (!evidence.cleared.contains(digest))
        make_room(evidence.cleared);
    evidence.cleared[digest] = now;
}

bool note_block(
    crash_evidence& evidence, const block_entry& entry, base::steady_time now) {
    if (entry.left <= base::milliseconds{0} ||
        recently_cleared(evidence, entry.key.digest, now))
        return false;
    const bool known = blocked_for(evidence, entry.key.digest, now).has_value();
    if (!evidence.blocked.contains(entry.key.digest))
        make_room(evidence.blocked);
    blocked_request& block = evidence.blocked[entry.key.digest];
    block.body_bytes = entry.key.body_bytes;
    block.times = std::max(block.times, entry.times);
    block.until = std::max(
        block.until, now + std::min(entry.left, block_time(block.times)));
    return !known;
}

bool recently_cleared(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time now) {
    const auto found = evidence.cleared.find(digest);
    return found != evidence.cleared.end() &&
           now - found->second < cleared_lifetime;
}

bool may_be_blocked(
    const crash_evidence& evidence, std::uint64_t body_bytes,
    base::steady_time now) {
    return std::any_of(
        evidence.blocked.begin(), evidence.blocked.end(),
        [&](const auto& entry) {
            return entry.second.body_bytes == body_bytes &&
                   is_in_force(entry.second, now);
        });
}

bool may_be_known(const crash_evidence& evidence, std::uint64_t body_bytes) {
    const auto same_size = [body_bytes](const auto& entry) {
        return entry.second.body_bytes == body_bytes;
    };
    return std::any_of(
               evidence.suspects.begin(), evidence.suspects.end(), same_size) ||
           std::any_of(
               evidence.blocked.begin(), evidence.blocked.end(), same_size);
}

std::optional<base::milliseconds> blocked_for(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time now) {
    const auto found = evidence.blocked.find(digest);
    if (found == evidence.blocked.end() || !is_in_force(found->second, now))
        return std::nullopt;
    return base::time_left(found->second.until, now);
}

std::vector<block_entry>
blocks(const crash_evidence& evidence, base::steady_time now) {
    std::vector<block_entry> result;
    for (const auto& [digest, block] : evidence.blocked)
        if (is_in_force(block, now))
            result.push_back(entry_of(digest, block, now));
    return result;
}

void expire_blocks(crash_evidence& evidence, base::steady_time now) {
    std::erase_if(evidence.blocked, [now](const auto& entry) {
        return entry.second.until + block_history_time <= now;
    });
    std::erase_if(evidence.cleared, [now](const auto& entry) {
        return now - entry.second >= cleared_lifetime;
    });
}

} // namespace mintknot::policy
