/// @file
/// The prefix cache of a stand-in engine, with its late, gappy events.
#ifndef MINTKNOT_STANDINS_PREFIX_CACHE_HPP
#define MINTKNOT_STANDINS_PREFIX_CACHE_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/engine/orders.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mintknot::standins {

/// Least recently used blocks go first. Not safe for concurrent use.
class prefix_cache {
public:
    /// @param most_blocks capacity.
    /// @param event_delay events are shown this long after they happened.
    /// @param lose_every every n-th event is never shown; 0: none is lost.
    prefix_cache(
        std::size_t most_blocks, base::milliseconds event_delay,
        std::uint64_t lose_every);

    /// @return how many leading blocks of the prompt are cached.
    std::size_t match(const std::vector<std::uint64_t>& hashes);

    /// Stores all blocks of a prompt.
    void store(const std::vector<std::uint64_t>& hashes);

    /// @return the events after a sequence number that may be shown by now.
    engine::cache_events since(std::uint64_t sequence) const;

private:
    struct timed_event {
        base::steady_time happened;
        engine::cache_event event;
    };

    void touch(std::uint64_t hash);
    void add_event(bool stored, std::uint64_t hash, std::uint32_t blocks);
    void evict();

    std::size_t most_blocks_;
    base::milliseconds event_delay_;
    std::uint64_t lose_every_;
    std::list<std::uint64_t> by_age_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
    std::deque<timed_event> events_;
    std::uint64_t last_sequence_ = 0;
};

} // namespace mintknot::standins

#endif
