#include <mintknot/relay/entry_server.hpp>

#include "caller_session.hpp"
#include "closing_connections.hpp"

#include <mintknot/event/listener.hpp>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace mintknot::relay {

struct entry_server::impl {
    explicit impl(router_context& shared)
        : context(shared)
        , listener(shared.loop) {
        listener.set_receive_buffer(policy::receive_buffer_bytes);
    }

    void accept(event::connection_ptr link) {
        context.monitor.note_activity();
        if (!has_place()) {
            // Closed without reading, so the caller can tell that no request
            // has run.
            link->abort();
            context.log.write("caller_turned_away", {{"reason", "too_many"}});
            return;
        }
        auto session = std::make_shared<caller_session>(
            context, std::move(link),
            session_owner{
                [this](caller_session& ended) { forget(ended); },
                [this](caller_session& needy) { make_room(needy); }});
        sessions.emplace(session.get(), session);
        session->start();
    }

    /// Makes place for a new connection, whose caller is waiting: those that
    /// have been closed go first, then the one that has been idle longest, then
    /// one that is stalled. @return false if there are none.
    bool has_place() {
        while (is_full())
            if (!closing.end_longest() && !close_longest_idle() &&
                !end_stalled(nullptr))
                return false;
        return true;
    }

    bool is_full() {
        const std::size_t closed = closing.count();
        // Counting the open ones takes a look at each session.
        return sessions.size() + closed >= context.options.max_callers &&
               open_sessions() + closed >= context.options.max_callers;
    }

    /// @return the number of sessions but for those that are about to be told
    /// of as closed.
    std::size_t open_sessions() const {
        return static_cast<std::size_t>(std::count_if(
            sessions.begin(), sessions.end(),
            [](const auto& entry) { return !entry.second->closed(); }));
    }

    void forget(caller_session& ended) {
        closing.add(ended.link(), context.loop.now());
        sessions.erase(&ended);
    }

    /// Lets others give way until there is room for what a session holds.
    void make_room(const caller_session& needy) {
        while (!policy::has_room(
            needy.held_bytes(), context.state.caller_bytes,
            context.options.max_caller_bytes))
            if (!closing.end_unread(context.loop.now()) && !end_stalled(&needy))
                return;
    }

    /// @return false if no session but the excepted one is stalled.
    bool end_stalled(const caller_session* excepted) {
        std::vector<std::shared_ptr<caller_session>> candidates;
        std::vector<policy::held_connection> held;
        for (const auto& [key, session] : sessions) {
            const auto found = session->may_give_way();
            if (!found || key == excepted)
                continue;
            candidates.push_back(session);
            held.push_back(*found);
        }
        const auto chosen =
            policy::choose_to_give_way(held, context.loop.now());
        if (chosen)
            candidates[*chosen]->give_way();
        return chosen.has_value();
    }

    /// @return false if no connection is idle.
    bool close_longest_idle() {
        std::shared_ptr<caller_session> longest;
        for (const auto& [key, session] : sessions)
            if (session->idle() && !session->closed() &&
                (longest == nullptr ||
                 session->idle_since() < longest->idle_since()))
                longest = session;
        if (longest == nullptr)
            return false;
        longest->close();
        return true;
    }

    /// What is done to a session may end it, and so change `sessions`.
    std::vector<std::shared_ptr<caller_session>> all_sessions() const {
        std::vector<std::shared_ptr<caller_session>> all;
        for (const auto& [key, session] : sessions)
            all.push_back(session);
        return all;
    }

    absl::Status listen(const base::address& address) {
        return listener.open(address, [this](event::connection_ptr link) {
            accept(std::move(link));
        });
    }

    router_context& context;
    event::listener listener;
    base::address where;
    std::unordered_map<caller_session*, std::shared_ptr<caller_session>>
        sessions;
    closing_connections closing{context.state.caller_bytes};
};

entry_server::entry_server(router_context& context)
    : impl_(std::make_unique<impl>(context)) {}

entry_server::~entry_server() = default;

absl::Status entry_server::open(const base::address& where) {
    absl::Status opened = impl_->listen(where);
    impl_->where = {where.host, impl_->listener.port()};
    return opened;
}

absl::Status entry_server::resume_accepting() {
    return impl_->listen(impl_->where);
}

std::uint16_t entry_server::port() const {
    return impl_->listener.port();
}

void entry_server::begin_drain(base::milliseconds grace) {
    impl_->context.state.stopping = true;
    impl_->context.state.stop_began = impl_->context.loop.now();
    impl_->context.state.grace = grace;
}

void entry_server::refuse_late() {
    for (const auto& session : impl_->all_sessions())
        session->refuse_if_too_late();
}

void entry_server::end_all() {
    for (const auto& session : impl_->all_sessions())
        session->end_at_stop();
}

void entry_server::close_idle() {
    for (const auto& session : impl_->all_sessions())
        if (session->idle())
            session->close();
}

void entry_server::record_unfinished() const {
    for (const auto& [key, session] : impl_->sessions)
        session->record_close(close_reason::stopped);
}

std::size_t entry_server::active_requests() const {
    std::size_t count = 0;
    for (const auto& [key, session] : impl_->sessions)
        count += session->idle() ? 0 : 1;
    return count;
}

std::size_t entry_server::connections() const {
    return impl_->sessions.size();
}

void entry_server::stop_accepting() {
    impl_->listener.close();
}

} // namespace mintknot::relay
