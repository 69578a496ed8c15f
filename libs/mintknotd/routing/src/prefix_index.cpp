#include <mintknot/routing/prefix_index.hpp>

#include <algorithm>
#include <cassert>

namespace mintknot::routing {

prefix_index::prefix_index(std::size_t most_entries)
    : most_entries_(most_entries) {
    assert(most_entries > 0);
}

void prefix_index::add(
    engine_number engine, const std::vector<base::prefix_hash>& prompt) {
    if (by_age_.size() <= engine)
        by_age_.resize(engine + 1);
    auto& ages = by_age_[engine];
    for (const base::prefix_hash& prefix : prompt) {
        auto& engines = holders_[prefix.hash];
        if (std::find(engines.begin(), engines.end(), engine) != engines.end())
            continue;
        engines.push_back(engine);
        ages.push_back(prefix.hash);
    }
    trim(engine);
}

/// Brings an engine down to its share. Others follow when they are added to.
void prefix_index::trim(engine_number engine) {
    const std::size_t share =
        std::max<std::size_t>(most_entries_ / by_age_.size(), 1);
    auto& ages = by_age_[engine];
    while (ages.size() > share) {
        remove(engine, ages.front());
        ages.pop_front();
    }
}

void prefix_index::correct(
    engine_number engine, const std::vector<base::prefix_hash>& prompt,
    std::uint32_t cached_blocks) {
    if (by_age_.size() <= engine)
        return;
    for (const base::prefix_hash& prefix : prompt)
        if (prefix.blocks > cached_blocks)
            remove(engine, prefix.hash);
}

void prefix_index::forget(engine_number engine) {
    if (by_age_.size() <= engine)
        return;
    for (const std::uint64_t hash : by_age_[engine])
        remove(engine, hash);
    by_age_[engine].clear();
}

std::vector<std::uint32_t> prefix_index::cached_blocks(
    const std::vector<base::prefix_hash>& prompt, std::size_t engines) const {
    std::vector<std::uint32_t> blocks(engines, 0);
    for (const base::prefix_hash& prefix : prompt) {
        const auto position = holders_.find(prefix.hash);
        if (position == holders_.end())
            continue;
        for (const engine_number engine : position->second)
            if (engine < engines)
                blocks[engine] = std::max(blocks[engine], prefix.blocks);
    }
    return blocks;
}

void prefix_index::remove(engine_number engine, std::uint64_t hash) {
    const auto position = holders_.find(hash);
    if (position == holders_.end())
        return;
    std::erase(position->second, engine);
    if (position->second.empty())
        holders_.erase(position);
}

} // namespace mintknot::routing
