#include <mintknot/standins/prefix_cache.hpp>

namespace mintknot::standins {

namespace {

/// Older events are forgotten, so that a slow reader sees a gap.
constexpr std::size_t most_events = 4096;

} // namespace

prefix_cache::prefix_cache(
    std::size_t most_blocks, base::milliseconds event_delay,
    std::uint64_t lose_every)
    : most_blocks_(most_blocks)
    , event_delay_(event_delay)
    , lose_every_(lose_every) {}

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& hashes) {
    std::size_t matched = 0;
    while (matched < hashes.size() && blocks_.contains(hashes[matched]))
        touch(hashes[matched++]);
    return matched;
}

void prefix_cache::store(const std::vector<std::uint64_t>& hashes) {
    std::uint32_t position = 0;
    for (const std::uint64_t hash : hashes) {
        ++position;
        if (blocks_.contains(hash)) {
            touch(hash);
            continue;
        }
        by_age_.push_front(hash);
        blocks_[hash] = by_age_.begin();
        add_event(true, hash, position);
        if (by_age_.size() > most_blocks_)
            evict();
    }
}

engine::cache_events prefix_cache::since(std::uint64_t sequence) const {
    const auto shown_until = base::steady_clock::now() - event_delay_;
    engine::cache_events result;
    result.next_sequence = sequence;
    for (const timed_event& entry : events_) {
        if (entry.event.sequence <= sequence)
            continue;
        if (entry.happened > shown_until)
            break;
        if (entry.event.sequence != result.next_sequence + 1)
            result.complete = false;
        result.next_sequence = entry.event.sequence;
        result.events.push_back(entry.event);
    }
    return result;
}

void prefix_cache::touch(std::uint64_t hash) {
    const auto position = blocks_.at(hash);
    by_age_.splice(by_age_.begin(), by_age_, position);
}

void prefix_cache::add_event(
    bool stored, std::uint64_t hash, std::uint32_t blocks) {
    ++last_sequence_;
    if (lose_every_ != 0 && last_sequence_ % lose_every_ == 0)
        return;
    events_.push_back(
        {base::steady_clock::now(), {last_sequence_, stored, hash, blocks}});
    if (events_.size() > most_events)
        events_.pop_front();
}

void prefix_cache::evict() {
    const std::uint64_t oldest = by_age_.back();
    by_age_.pop_back();
    blocks_.erase(oldest);
    add_event(false, oldest, 0);
}

} // namespace mintknot::standins
