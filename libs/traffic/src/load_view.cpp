#include <mintknot/traffic/load_view.hpp>

#include <utility>

namespace mintknot::traffic {

server_load& operator+=(server_load& left, const server_load& right) noexcept {
    left.calls += right.calls;
    left.prefill_tokens += right.prefill_tokens;
    left.memory_tokens += right.memory_tokens;
    return left;
}

server_load& operator-=(server_load& left, const server_load& right) noexcept {
    left.calls -= right.calls;
    left.prefill_tokens -= right.prefill_tokens;
    left.memory_tokens -= right.memory_tokens;
    return left;
}

void add(load_view& view, const std::string& id, const server_load& load) {
    view.own[id] += load;
}

void remove(load_view& view, const std::string& id, const server_load& load) {
    const auto found = view.own.find(id);
    if (found == view.own.end())
        return;
    found->second -= load;
    if (found->second.empty())
        view.own.erase(found);
}

void set_peer(
    load_view& view, const std::string& peer, load_map loads,
    base::steady_time now) {
    view.peers[peer] = {std::move(loads), now};
    std::erase_if(view.peers, [now](const auto& item) {
        return now - item.second.heard > load_life;
    });
}

server_load
total(const load_view& view, const std::string& id, base::steady_time now) {
    server_load sum = own(view, id);
    for (const auto& [name, peer] : view.peers) {
        if (now - peer.heard > load_life)
            continue;
        const auto found = peer.loads.find(id);
        if (found != peer.loads.end())
            sum += found->second;
    }
    return sum;
}

server_load own(const load_view& view, const std::string& id) {
    const auto found = view.own.find(id);
    return found == view.own.end() ? server_load{} : found->second;
}

} // namespace mintknot::traffic
