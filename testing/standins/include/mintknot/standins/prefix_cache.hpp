/// @file
/// The prefix cache of a stand-in engine.
#ifndef MINTKNOT_STANDINS_PREFIX_CACHE_HPP
#define MINTKNOT_STANDINS_PREFIX_CACHE_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace mintknot::standins {

/// Least recently used blocks go first. Not safe for concurrent use.
class prefix_cache {
public:
    /// @param most_blocks capacity.
    explicit prefix_cache(std::size_t most_blocks);

    /// @return how many leading blocks of the prompt are cached.
    std::size_t match(const std::vector<std::uint64_t>& hashes);

    /// Stores all blocks of a prompt.
    void store(const std::vector<std::uint64_t>& hashes);

private:
    void touch(std::uint64_t hash);
    void evict();

    std::size_t most_blocks_;
    std::list<std::uint64_t> by_age_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
};

} // namespace mintknot::standins

#endif
