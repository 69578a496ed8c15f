/// @file
/// Which engine is believed to hold which prompt prefix in its cache.
#ifndef MINTKNOT_ROUTING_PREFIX_INDEX_HPP
#define MINTKNOT_ROUTING_PREFIX_INDEX_HPP

#include <mintknot/base/prompt_blocks.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintknot::routing {

/// Number of an engine in its engine_table.
using engine_number = std::uint32_t;

/// Soft state: wrong entries cost a longer prefill, nothing else. It learns
/// from placements, and is corrected by the cached tokens that engines report
/// with each prefill. Bounded as a whole: each engine may have an equal share
/// of the entries; its oldest go first.
/// Not safe for concurrent use.
class prefix_index {
public:
    /// @param most_entries bound for all engines together, at least 1.
    explicit prefix_index(std::size_t most_entries);

    /// Notes that an engine is about to hold these prefixes.
    void
    add(engine_number engine, const std::vector<base::prefix_hash>& prompt);

    /// Forgets the prefixes of a prompt beyond what the engine really had.
    void correct(
        engine_number engine, const std::vector<base::prefix_hash>& prompt,
        std::uint32_t cached_blocks);

    /// Forgets an engine (it restarted or has gone).
    void forget(engine_number engine);

    /// Finds the longest known prefix on each engine.
    /// @return one entry for each engine up to `engines`: cached blocks.
    std::vector<std::uint32_t> cached_blocks(
        const std::vector<base::prefix_hash>& prompt,
        std::size_t engines) const;

    std::size_t size() const noexcept { return holders_.size(); }

private:
    void remove(engine_number engine, std::uint64_t hash);
    void trim(engine_number engine);

    std::size_t most_entries_;
    std::unordered_map<std::uint64_t, std::vector<engine_number>> holders_;
    std::vector<std::deque<std::uint64_t>> by_age_; ///< By engine number.
};

} // namespace mintknot::routing

#endif
