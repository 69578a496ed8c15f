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

namespace {

void add_to_sum(load_map& sum, const load_map& loads) {
    for (const auto& [id, load] : loads)
        sum[id] += load;
}

/// Empty entries are dropped.
void take(load_map& from, const std::string& id, const server_load& load) {
    const auto found = from.find(id);
    if (found == from.end())
        return;
    found->second -= load;
    if (found->second.empty())
        from.erase(found);
}

void take_from_sum(load_map& sum, const load_map& loads) {
    for (const auto& [id, load] : loads)
        take(sum, id, load);
}

} // namespace

void add(load_view& view, const std::string& id, const server_load& load) {
    view.own[id] += load;
}

void remove(load_view& view, const std::string& id, const server_load& load) {
    take(view.own, id, load);
}

void set_peer(
    load_view& view, const std::string& peer, load_map loads,
    base::steady_time now) {
    load_view::remote& known = view.peers[peer];
    take_from_sum(view.of_peers, known.loads);
    known = {std::move(loads), now};
    add_to_sum(view.of_peers, known.loads);
}

void add_to_peer(
    load_view& view, const std::string& peer, const load_map& loads,
    base::steady_time now) {
    load_view::remote& known = view.peers[peer];
    add_to_sum(known.loads, loads);
    add_to_sum(view.of_peers, loads);
    known.heard = now;
}

void expire(load_view& view, base::steady_time now) {
    std::erase_if(view.peers, [&](const auto& item) {
        if (now - item.second.heard <= load_life)
            return false;
        take_from_sum(view.of_peers, item.second.loads);
        return true;
    });
}

server_load total(const load_view& view, const std::string& id) {
    server_load sum = own(view, id);
    const auto found = view.of_peers.find(id);
    if (found != view.of_peers.end())
        sum += found->second;
    return sum;
}

server_load own(const load_view& view, const std::string& id) {
    const auto found = view.own.find(id);
    return found == view.own.end() ? server_load{} : found->second;
}

} // namespace mintknot::traffic
