#include <mintknot/audit/decision_log.hpp>

#include <cassert>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace mintknot::audit {

struct decision_log::impl {
    mutable std::mutex mutex;
    std::size_t most_kept = 1;
    std::deque<decision> entries;
    std::uint64_t first_number = 0; ///< Number of the oldest entry.
    /// Numbers of the entries about a request, oldest first.
    std::unordered_map<std::string, std::deque<std::uint64_t>> by_request;

    void drop_oldest() {
        const std::string& request = entries.front().request;
        const auto position = by_request.find(request);
        if (position != by_request.end()) {
            position->second.pop_front();
            if (position->second.empty())
                by_request.erase(position);
        }
        entries.pop_front();
        ++first_number;
    }
};

decision_log::decision_log(std::size_t most_kept)
    : impl_(std::make_unique<impl>()) {
    assert(most_kept > 0);
    impl_->most_kept = most_kept;
}

decision_log::~decision_log() = default;

void decision_log::record(decision entry) {
    const std::lock_guard lock(impl_->mutex);
    if (!entry.request.empty())
        impl_->by_request[entry.request].push_back(
            impl_->first_number + impl_->entries.size());
    impl_->entries.push_back(std::move(entry));
    if (impl_->entries.size() > impl_->most_kept)
        impl_->drop_oldest();
}

std::vector<decision> decision_log::find(const std::string& request) const {
    const std::lock_guard lock(impl_->mutex);
    std::vector<decision> found;
    const auto position = impl_->by_request.find(request);
    if (position == impl_->by_request.end())
        return found;
    for (const std::uint64_t number : position->second)
        found.push_back(impl_->entries[number - impl_->first_number]);
    return found;
}

std::vector<decision> decision_log::recent(std::size_t most) const {
    const std::lock_guard lock(impl_->mutex);
    const std::size_t count = std::min(most, impl_->entries.size());
    return {
        impl_->entries.end() - static_cast<std::ptrdiff_t>(count),
        impl_->entries.end()};
}

std::size_t decision_log::size() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->entries.size();
}

} // namespace mintknot::audit
