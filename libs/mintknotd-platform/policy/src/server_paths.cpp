#include <mintknot/policy/server_paths.hpp>

#include <algorithm>
#include <utility>

namespace mintknot::policy {

namespace {

/// How long the result of an attempt to connect counts.
constexpr base::milliseconds evidence_lifetime{2000};
/// Number of servers that have to be out of reach at once. A single one may
/// have ended.
constexpr std::ptrdiff_t servers_to_be_isolated = 2;
/// How long a peer that had no path is not asked again if there are others.
constexpr base::milliseconds failed_peer_pause{1000};
/// How long a peer that has connected is preferred.
constexpr base::milliseconds preferred_peer_time{5000};
/// Part of the connect timeout after which a peer is asked.
constexpr int timeout_parts = 2;

bool is_recent(base::steady_time at, base::steady_time now) {
    return at != base::steady_time{} && now - at <= evidence_lifetime;
}

/// @return the record of a server that was not reached directly lately, or
/// null.
const lost_path*
find_lost(const path_view& view, const std::string& id, base::steady_time now) {
    const auto found = view.lost.find(id);
    const bool lost =
        found != view.lost.end() && is_recent(found->second.failure, now);
    return lost ? &found->second : nullptr;
}

/// Lower ranks are asked first.
int rank_of(
    const path_view& view, const tunnel_peer& peer, base::steady_time now) {
    const auto found = view.peers.find(peer.host);
    const peer_path known =
        found == view.peers.end() ? peer_path{} : found->second;
    const bool failed = known.failure > known.success &&
                        now - known.failure <= failed_peer_pause;
    if (failed)
        return 3;
    if (known.success > known.failure &&
        now - known.success <= preferred_peer_time)
        return 0;
    return peer.same_data_centre ? 1 : 2;
}

} // namespace

void note_direct_success(
    path_view& view, const std::string& id, base::steady_time now) {
    view.lost.erase(id);
    view.direct_success = now;
}

void note_direct_failure(
    path_view& view, const std::string& id, base::steady_time now) {
    std::erase_if(view.lost, [now](const auto& item) {
        return !is_recent(item.second.failure, now) &&
               !is_recent(item.second.tunnel_success, now);
    });
    view.lost[id].failure = now;
}

void note_tunnel_success(
    path_view& view, const std::string& id, const std::string& host,
    base::steady_time now) {
    view.lost[id].tunnel_success = now;
    view.peers[host].success = now;
}

void note_tunnel_failure(
    path_view& view, const std::string& host, base::steady_time now) {
    std::erase_if(view.peers, [now](const auto& item) {
        return now - item.second.failure > preferred_peer_time &&
               now - item.second.success > preferred_peer_time;
    });
    view.peers[host].failure = now;
}

void forget(path_view& view, const std::string& id) {
    view.lost.erase(id);
}

bool is_isolated(const path_view& view, base::steady_time now) {
    const auto lost = std::count_if(
        view.lost.begin(), view.lost.end(), [&](const auto& item) {
            const base::steady_time failure = item.second.failure;
            return is_recent(failure, now) && failure > view.direct_success;
        });
    return lost >= servers_to_be_isolated;
}

bool is_path_lost(
    const path_view& view, const std::string& id, base::steady_time now) {
    if (is_isolated(view, now))
        return true;
    const lost_path* path = find_lost(view, id, now);
    return path != nullptr && is_recent(path->tunnel_success, now);
}

base::milliseconds time_before_tunnel(
    const path_view& view, const std::string& id, base::milliseconds timeout,
    base::steady_time now) {
    if (find_lost(view, id, now) != nullptr || is_isolated(view, now))
        return base::milliseconds{0};
    return timeout / timeout_parts;
}

std::vector<std::string> choose_tunnel_peers(
    const path_view& view, const std::vector<tunnel_peer>& peers,
    base::steady_time now, const std::function<double()>& draw_uniform) {
    std::vector<std::pair<double, std::string>> ranked;
    for (const tunnel_peer& peer : peers)
        ranked.emplace_back(
            rank_of(view, peer, now) + draw_uniform(), peer.host);
    const std::size_t count = std::min(max_tunnel_peers, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
        ranked.end());
    std::vector<std::string> hosts;
    for (std::size_t i = 0; i < count; ++i)
        hosts.push_back(std::move(ranked[i].second));
    return hosts;
}

} // namespace mintknot::policy
