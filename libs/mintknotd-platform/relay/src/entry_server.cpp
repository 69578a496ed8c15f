#include <mintknot/relay/entry_server.hpp>

#include "caller_session.hpp"

#include <mintknot/event/listener.hpp>

#include <unordered_map>
#include <vector>

namespace mintknot::relay {

struct entry_server::impl {
    explicit impl(router_context& shared)
        : context(shared)
        , listener(shared.loop) {}

    void accept(event::connection_ptr link) {
        context.monitor.note_activity();
        if (sessions.size() >= context.options.max_callers &&
            !close_longest_idle()) {
            // Closed without reading, so the caller can tell that no request
            // has run.
            link->abort();
            context.log.write("caller_turned_away", {{"reason", "too_many"}});
            return;
        }
        auto session = std::make_shared<caller_session>(
            context, std::move(link),
            session_owner{
                [this](caller_session& ended) { sessions.erase(&ended); },
                [this](caller_session& needy) { make_room(needy); }});
        sessions.emplace(session.get(), session);
        session->start();
    }

    /// Lets others give way until there is room for what a session holds.
    void make_room(const caller_session& needy) {
        while (!policy::has_room(
            needy.held_bytes(), context.state.caller_bytes,
            context.options.max_caller_bytes))
            if (!end_stalled(needy))
                return;
    }

    /// @return false if no session but the excepted one is stalled.
    bool end_stalled(const caller_session& excepted) {
        std::vector<std::shared_ptr<caller_session>> candidates;
        std::vector<policy::held_connection> held;
        for (const auto& [key, session] : sessions) {
            const auto found = session->may_give_way();
            if (!found || key == &excepted)
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

    /// Makes room for a new connection, whose caller is waiting, by closing the
    /// one that has been idle longest.
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
