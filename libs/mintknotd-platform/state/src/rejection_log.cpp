#include <mintknot/state/rejection_log.hpp>

#include <utility>

namespace mintknot::state {

std::optional<std::int64_t>
rejection_log::note(const std::string& document, base::steady_time now) {
    if (entries_.size() >= max_documents && !entries_.contains(document))
        entries_.clear();
    const auto [found, is_new] = entries_.try_emplace(document);
    entry& known = found->second;
    ++known.unlogged;
    if (!is_new && now - known.logged < min_interval)
        return std::nullopt;
    known.logged = now;
    return std::exchange(known.unlogged, 0);
}

} // namespace mintknot::state
