#include <mintknot/upstream/connection_pool.hpp>

#include <list>
#include <unordered_map>
#include <utility>

namespace mintknot::upstream {

namespace {

constexpr base::milliseconds sweep_period{1000};
/// How long it is remembered when a server was heard.
constexpr base::milliseconds heard_lifetime{10000};

struct idle_connection {
    event::connection_ptr link;
    base::steady_time until;
};

} // namespace

struct connection_pool::impl {
    impl(event::loop& loop, connect_function opens)
        : owner(loop)
        , open(std::move(opens))
        , sweep_timer(loop) {}

    void forget(const std::string& id, const event::connection* link) {
        const auto found = idle.find(id);
        if (found == idle.end())
            return;
        for (auto it = found->second.begin(); it != found->second.end(); ++it)
            if (it->link.get() == link) {
                const event::connection_ptr dropped = it->link;
                found->second.erase(it);
                --total;
                dropped->abort();
                break;
            }
        if (found->second.empty())
            idle.erase(found);
    }

    void start_sweeps() {
        if (!sweep_timer.active())
            sweep_timer.start(sweep_period, [this] { sweep(); });
    }

    void sweep() {
        const base::steady_time now = owner.now();
        for (auto it = idle.begin(); it != idle.end();) {
            total -= it->second.remove_if([&](const idle_connection& entry) {
                if (entry.until > now)
                    return false;
                entry.link->close();
                return true;
            });
            it = it->second.empty() ? idle.erase(it) : std::next(it);
        }
        std::erase_if(heard, [now](const auto& entry) {
            return entry.second + heard_lifetime <= now;
        });
        std::erase_if(
            watches, [](const auto& entry) { return entry.second.expired(); });
        if (total > 0 || !heard.empty() || !watches.empty())
            sweep_timer.start(sweep_period, [this] { sweep(); });
    }

    event::loop& owner;
    connect_function open; ///< Empty: connects directly.
    event::timer sweep_timer;
    std::unordered_map<std::string, std::list<idle_connection>> idle;
    std::unordered_map<std::string, base::steady_time> heard;
    std::unordered_multimap<std::string, std::weak_ptr<const answer_watch>>
        watches;
    std::size_t total = 0;
    std::function<void(const std::string&, const http1::response_head&)>
        observer;
    pool_counters counters;
};

connection_pool::connection_pool(event::loop& owner, connect_function open)
    : impl_(std::make_unique<impl>(owner, std::move(open))) {}

connection_pool::~connection_pool() = default;

void connection_pool::connect(
    const target& where, base::milliseconds timeout, connect_handler on_done) {
    if (impl_->open) {
        impl_->open(where, timeout, std::move(on_done));
        return;
    }
    event::connect(
        impl_->owner, where.where, timeout,
        [on_done = std::move(on_done)](
            event::connection_ptr opened, event::connect_result result) {
            on_done({std::move(opened), result, false});
        });
}

event::connection_ptr connection_pool::take(const std::string& id) {
    const auto found = impl_->idle.find(id);
    if (found == impl_->idle.end())
        return nullptr;
    const base::steady_time now = impl_->owner.now();
    event::connection_ptr taken;
    while (taken == nullptr && !found->second.empty()) {
        const idle_connection last = found->second.back();
        found->second.pop_back();
        --impl_->total;
        if (last.until > now)
            taken = last.link;
        else
            last.link->close();
    }
    if (found->second.empty())
        impl_->idle.erase(found);
    if (taken != nullptr)
        ++impl_->counters.reused;
    return taken;
}

void connection_pool::give(
    const std::string& id, event::connection_ptr connection,
    base::milliseconds idle_for) {
    if (idle_for <= base::milliseconds{0}) {
        connection->close();
        return;
    }
    event::connection* raw = connection.get();
    connection->set_handlers(
        {[this, id, raw](std::string_view) { impl_->forget(id, raw); },
         [this, id, raw](event::connection_end) { impl_->forget(id, raw); },
         nullptr});
    impl_->idle[id].push_back(
        {std::move(connection), impl_->owner.now() + idle_for});
    ++impl_->total;
    impl_->start_sweeps();
}

void connection_pool::drop(const std::string& id) {
    impl_->heard.erase(id);
    const auto found = impl_->idle.find(id);
    if (found == impl_->idle.end())
        return;
    impl_->total -= found->second.size();
    for (const idle_connection& entry : found->second)
        entry.link->close();
    impl_->idle.erase(found);
}

void connection_pool::observe_answers(
    std::function<void(const std::string& id, const http1::response_head& head)>
        observer) {
    impl_->observer = std::move(observer);
}

void connection_pool::tell_answer(
    const std::string& id, const http1::response_head& head) {
    if (impl_->observer)
        impl_->observer(id, head);
}

void connection_pool::note_heard(const std::string& id) {
    impl_->heard[id] = impl_->owner.now();
    impl_->start_sweeps();
}

std::optional<base::steady_time>
connection_pool::last_heard(const std::string& id) const {
    const auto found = impl_->heard.find(id);
    if (found == impl_->heard.end())
        return std::nullopt;
    return found->second;
}

void connection_pool::note_answered(
    const std::string& id, base::steady_time sent) {
    const auto [begin, end] = impl_->watches.equal_range(id);
    for (auto it = begin; it != end;) {
        const std::shared_ptr<const answer_watch> watch = it->second.lock();
        if (watch != nullptr && sent <= watch->since) {
            ++it;
            continue;
        }
        impl_->owner.post([told = it->second] {
            if (const auto waiting = told.lock())
                waiting->then();
        });
        it = impl_->watches.erase(it);
    }
}

std::shared_ptr<const answer_watch> connection_pool::watch_answers(
    const std::string& id, std::function<void()> then) {
    auto watch = std::make_shared<const answer_watch>(
        answer_watch{impl_->owner.now(), std::move(then)});
    impl_->watches.emplace(id, watch);
    impl_->start_sweeps();
    return watch;
}

std::vector<std::string> connection_pool::idle_servers() const {
    std::vector<std::string> ids;
    for (const auto& [id, connections] : impl_->idle)
        ids.push_back(id);
    return ids;
}

std::size_t connection_pool::idle(const std::string& id) const {
    const auto found = impl_->idle.find(id);
    return found == impl_->idle.end() ? 0 : found->second.size();
}

std::size_t connection_pool::idle_total() const noexcept {
    return impl_->total;
}

pool_counters& connection_pool::counters() noexcept {
    return impl_->counters;
}

event::loop& connection_pool::owner() noexcept {
    return impl_->owner;
}

} // namespace mintknot::upstream
