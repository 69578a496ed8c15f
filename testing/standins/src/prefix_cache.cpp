#include <mintknot/standins/prefix_cache.hpp>

namespace mintknot::standins {

prefix_cache::prefix_cache(std::size_t most_blocks)
    : most_blocks_(most_blocks) {}

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& hashes) {
    std::size_t matched = 0;
    while (matched < hashes.size() && blocks_.contains(hashes[matched]))
        touch(hashes[matched++]);
    return matched;
}

void prefix_cache::store(const std::vector<std::uint64_t>& hashes) {
    for (const std::uint64_t hash : hashes) {
        if (blocks_.contains(hash)) {
            touch(hash);
            continue;
        }
        by_age_.push_front(hash);
        blocks_[hash] = by_age_.begin();
        if (by_age_.size() > most_blocks_)
            evict();
    }
}

void prefix_cache::touch(std::uint64_t hash) {
    const auto position = blocks_.at(hash);
    by_age_.splice(by_age_.begin(), by_age_, position);
}

void prefix_cache::evict() {
    const std::uint64_t oldest = by_age_.back();
    by_age_.pop_back();
    blocks_.erase(oldest);
}

} // namespace mintknot::standins
