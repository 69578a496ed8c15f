#include <mintknot/config/change_feed.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>

namespace mintknot::config {

struct change_feed::impl {
    explicit impl(std::size_t most)
        : most_kept(most) {}

    const std::size_t most_kept;
    mutable std::mutex mutex;
    mutable std::condition_variable moved;
    std::shared_ptr<const catalogue> current =
        std::make_shared<const catalogue>();
    std::deque<change> kept;
    bool ready = false;
    bool stopped = false;

    void keep(const change& item) {
        kept.push_back(item);
        if (kept.size() > most_kept)
            kept.pop_front();
    }
};

change_feed::change_feed(std::size_t most_kept)
    : impl_(std::make_unique<impl>(most_kept)) {}

change_feed::~change_feed() = default;

std::shared_ptr<const catalogue> change_feed::current() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->current;
}

std::uint64_t change_feed::apply(const std::vector<change>& changes) {
    const std::lock_guard lock(impl_->mutex);
    std::vector<change> following;
    std::uint64_t expected = impl_->current->revision() + 1;
    for (const change& item : changes) {
        if (item.revision != expected)
            continue;
        following.push_back(item);
        impl_->keep(item);
        ++expected;
    }
    if (following.empty())
        return impl_->current->revision();
    impl_->current =
        std::make_shared<const catalogue>(impl_->current->with(following));
    impl_->ready = true;
    impl_->moved.notify_all();
    return impl_->current->revision();
}

void change_feed::reset(catalogue whole) {
    const std::lock_guard lock(impl_->mutex);
    const bool newer = whole.revision() > impl_->current->revision();
    if (newer) {
        impl_->current = std::make_shared<const catalogue>(std::move(whole));
        impl_->kept.clear();
    }
    impl_->ready = true;
    impl_->moved.notify_all();
}

bool change_feed::ready() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->ready;
}

change_page change_feed::since(std::uint64_t revision) const {
    const std::lock_guard lock(impl_->mutex);
    change_page page;
    if (revision >= impl_->current->revision())
        return page;
    page.complete =
        !impl_->kept.empty() && impl_->kept.front().revision <= revision + 1;
    if (!page.complete)
        return page;
    for (const change& item : impl_->kept)
        if (item.revision > revision)
            page.changes.push_back(item);
    return page;
}

void change_feed::wait_beyond(
    std::uint64_t revision, base::milliseconds longest) const {
    std::unique_lock lock(impl_->mutex);
    impl_->moved.wait_for(lock, longest, [&] {
        return impl_->stopped || impl_->current->revision() > revision;
    });
}

void change_feed::stop() {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopped = true;
    impl_->moved.notify_all();
}

bool change_feed::stopped() const {
    const std::lock_guard lock(impl_->mutex);
    return impl_->stopped;
}

} // namespace mintknot::config
