#include <mintknot/control/config_reader.hpp>

#include <mintknot/base/log.hpp>
#include <mintknot/base/status_text.hpp>

#include <condition_variable>
#include <mutex>

namespace mintknot::control {

namespace {

/// How often the peers' revisions are looked at.
constexpr base::milliseconds look_period{100};
constexpr const char* reader_job = "config-reader";

} // namespace

struct config_reader::impl {
    impl(
        config::change_feed& changes, config::config_store& tables,
        const control_loop& loop, rpc::peer_client& client,
        base::milliseconds interval)
        : feed(changes)
        , store(tables)
        , control(loop)
        , peers(client)
        , poll_interval(interval) {}

    config::change_feed& feed;
    config::config_store& store;
    const control_loop& control;
    rpc::peer_client& peers;
    const base::milliseconds poll_interval;
    const base::logger log{"config"};
    std::mutex mutex;
    std::condition_variable_any woken;
    bool hurried = false;
    bool store_was_up = true;

    void follow_peers();
    void follow_store();
    absl::Status read_store();
    void note_store(const absl::Status& status);
};

void config_reader::impl::follow_peers() {
    const auto view = control.view();
    const std::uint64_t own = feed.current()->revision();
    for (const cluster::member& peer : view->live) {
        const bool ahead = peer.applied_revision > own || !feed.ready();
        if (peer.id == view->self || !ahead)
            continue;
        const auto page = peers.changes_since(peer.rpc, own);
        if (!page.ok() || !page->ready)
            continue;
        if (page->whole)
            feed.reset(
                config::catalogue::from(page->resources, page->revision));
        else
            feed.apply(page->changes);
        if (feed.current()->revision() > own) {
            log.info(
                "Revision {} is in force, from {}.", feed.current()->revision(),
                base::to_string(peer.id));
            return;
        }
    }
}

absl::Status config_reader::impl::read_store() {
    if (!feed.ready()) {
        auto whole = store.load();
        if (!whole.ok())
            return whole.status();
        feed.reset(*std::move(whole));
        log.info("Revision {} is in force.", feed.current()->revision());
        return absl::OkStatus();
    }
    const std::uint64_t own = feed.current()->revision();
    const auto head = store.head();
    if (!head.ok() || *head <= own)
        return head.status();
    const auto changes = store.changes_since(own);
    if (absl::IsOutOfRange(changes.status())) {
        auto whole = store.load();
        if (!whole.ok())
            return whole.status();
        feed.reset(*std::move(whole));
    } else if (!changes.ok()) {
        return changes.status();
    } else {
        feed.apply(*changes);
    }
    log.info("Revision {} is in force.", feed.current()->revision());
    return absl::OkStatus();
}

void config_reader::impl::note_store(const absl::Status& status) {
    if (status.ok() == store_was_up)
        return;
    store_was_up = status.ok();
    if (status.ok())
        log.info("The platform answers again.");
    else
        log.warning(
            "The platform cannot be read, the last configuration stays: {}.",
            base::text_of(status));
}

void config_reader::impl::follow_store() {
    note_store(read_store());
}

config_reader::config_reader(
    config::change_feed& feed, config::config_store& store,
    const control_loop& control, rpc::peer_client& peers,
    base::milliseconds poll_interval)
    : impl_(
          std::make_unique<impl>(feed, store, control, peers, poll_interval)) {}

config_reader::~config_reader() = default;

void config_reader::run(
    const std::stop_token& stop, const std::function<void()>& alive) {
    auto next_poll = base::steady_clock::now();
    while (!stop.stop_requested()) {
        impl_->follow_peers();
        bool hurried = false;
        {
            std::unique_lock lock(impl_->mutex);
            impl_->woken.wait_for(
                lock, stop, look_period, [this] { return impl_->hurried; });
            hurried = impl_->hurried;
            impl_->hurried = false;
        }
        const auto now = base::steady_clock::now();
        const bool own_job = does_job(*impl_->control.view(), reader_job);
        const bool due = now >= next_poll && (own_job || !impl_->feed.ready());
        if (due || hurried) {
            impl_->follow_store();
            next_poll = base::steady_clock::now() + impl_->poll_interval;
        }
        alive();
    }
}

void config_reader::hurry() {
    const std::lock_guard lock(impl_->mutex);
    impl_->hurried = true;
    impl_->woken.notify_all();
}

} // namespace mintknot::control
