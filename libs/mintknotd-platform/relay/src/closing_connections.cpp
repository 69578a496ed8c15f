#include "closing_connections.hpp"

#include <algorithm>

namespace mintknot::relay {

namespace {

std::size_t held_bytes(const event::connection& link) {
    return policy::connection_bytes + link.queued_bytes();
}

} // namespace

void closing_connections::add(
    const event::connection_ptr& link, base::steady_time now) {
    if (!link->is_open())
        return;
    entry added{link, memory_claim(account_), {}};
    added.claim.set(held_bytes(*link));
    policy::note_transfer(added.progress, link->queued_bytes(), now);
    entries_.push_back(std::move(added));
}

void closing_connections::refresh() {
    std::erase_if(entries_, [](entry& at) {
        const event::connection_ptr link = at.link.lock();
        if (link == nullptr || !link->is_open())
            return true;
        at.claim.set(held_bytes(*link));
        return false;
    });
}

std::size_t closing_connections::count() {
    refresh();
    return entries_.size();
}

void closing_connections::end(std::size_t index) {
    if (const event::connection_ptr link = entries_[index].link.lock())
        link->abort();
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index));
}

bool closing_connections::end_longest() {
    refresh();
    if (entries_.empty())
        return false;
    end(0);
    return true;
}

bool closing_connections::end_unread(base::steady_time now) {
    refresh();
    std::vector<policy::held_connection> held;
    for (const entry& at : entries_)
        held.push_back({at.claim.bytes(), at.progress});
    const auto chosen = policy::choose_to_give_way(held, now);
    if (!chosen)
        return false;
    end(*chosen);
    return true;
}

} // namespace mintknot::relay
