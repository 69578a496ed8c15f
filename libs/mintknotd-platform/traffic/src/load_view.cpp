#include <mintknot/traffic/load_view.hpp>

#include <utility>

namespace mintknot::traffic {

server_load& operator+=(server_load& left, const server_load& right) noexcept {
    left.calls += right.calls;
    left.prefill_tokens += right.prefill_tokens;
    left.memory_tokens += right.memory_tokens;
    left.profile += right.profile;
    return left;
}

server_load& operator-=(server_load& left, const server_load& right) noexcept {
    left.calls -= right.calls;
    left.prefill_tokens -= right.prefill_tokens;
    left.memory_tokens -= right.memory_tokens;
    left.profile -= right.profile;
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

void take_from_sum(load_view& view, const load_map& loads) {
    for (const auto& [id, load] : loads) {
        take(view.of_peers, id, load);
        if (!view.profiles_reported.empty() && !view.of_peers.contains(id))
            view.profiles_reported.erase(id);
    }
}

load_view::remote&
peer_entry(load_view& view, const std::string& peer, base::steady_time now) {
    if (view.peers.empty())
        view.first_heard = now;
    return view.peers[peer];
}

/// Brings the profiles to the common start, so that their sum can be taken
/// back exactly.
void align_profiles(load_map& loads, base::steady_time now) {
    for (auto& [id, load] : loads) {
        if (!load.profile.present())
            continue;
        load.profile.start = now;
        load.profile = resampled(load.profile, profile_grid(now));
    }
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
    load_view::remote& known = peer_entry(view, peer, now);
    take_from_sum(view, known.loads);
    known = {std::move(loads), now};
    align_profiles(known.loads, now);
    add_to_sum(view.of_peers, known.loads);
    for (const auto& [id, load] : known.loads)
        if (load.profile.present())
            view.profiles_reported[id] = now;
}

void add_to_peer(
    load_view& view, const std::string& peer, const load_map& loads,
    base::steady_time now) {
    load_view::remote& known = peer_entry(view, peer, now);
    load_map aligned = loads;
    align_profiles(aligned, now);
    add_to_sum(known.loads, aligned);
    add_to_sum(view.of_peers, aligned);
    known.heard = now;
}

void expire(load_view& view, base::steady_time now) {
    std::erase_if(view.peers, [&](const auto& item) {
        if (now - item.second.heard <= load_life)
            return false;
        take_from_sum(view, item.second.loads);
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

std::optional<base::milliseconds> profile_age(
    const load_view& view, const std::string& id, base::steady_time now) {
    const auto found = view.profiles_reported.find(id);
    if (found == view.profiles_reported.end())
        return std::nullopt;
    return std::chrono::duration_cast<base::milliseconds>(now - found->second);
}

server_load own(const load_view& view, const std::string& id) {
    const auto found = view.own.find(id);
    return found == view.own.end() ? server_load{} : found->second;
}

} // namespace mintknot::traffic
