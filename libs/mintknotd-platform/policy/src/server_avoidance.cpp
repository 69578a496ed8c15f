/// @file
/// Which servers are avoided, by own results, peers' warnings and orders.

#include <mintknot/policy/server_health.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// A peer's warning does not count so soon after an own good call: the fault
/// may lie between the peer and the server.
constexpr base::milliseconds own_trust{700};

/// Good answers, weighed down with age, that tell more than the warning of one
/// instance: some five a second. Below that a crash is to be believed at once.
constexpr double calls_to_outweigh_warnings = 40.0;
/// The last of them must be so young: reports are sent every 60 ms.
constexpr base::milliseconds peers_trust{200};

} // namespace

void note_change(
    health_view& view, const std::string& id, base::steady_time until) {
    view.ordered_until[id] = until;
}

void note_peer_change(
    health_view& view, const std::string& id, base::steady_time until) {
    // A later word of the same order must not extend it: a change that has
    // been seen to end would otherwise begin again.
    view.peers_ordered_until.emplace(id, until);
}

bool changing(
    const health_view& view, const std::string& id, base::steady_time now) {
    const auto is_later = [&](const auto& times) {
        const auto found = times.find(id);
        return found != times.end() && found->second > now;
    };
    return is_later(view.ordered_until) || is_later(view.peers_ordered_until);
}

void end_change(health_view& view, const std::string& id) {
    view.ordered_until.erase(id);
    view.warned_until.erase(id);
    // Kept in the past: a peer may still speak of the change for a while.
    view.peers_ordered_until[id] = base::steady_time{};
}

void warn(
    health_view& view, const std::string& id, base::steady_time until,
    base::steady_time now) {
    const auto found = view.own.find(id);
    if (found != view.own.end() && now - found->second.good_at < own_trust)
        return;
    base::steady_time& warned = view.warned_until[id];
    warned = std::max(warned, until);
}

std::vector<server_warning>
own_warnings(const health_view& view, base::steady_time now) {
    std::vector<server_warning> warnings;
    for (const auto& [id, record] : view.own)
        if (record.avoid_until > now)
            warnings.push_back({id, base::time_left(record.avoid_until, now)});
    return warnings;
}

namespace {

bool trusted_by_many(
    const health_view& view, const std::string& id, base::steady_time now) {
    const auto found = view.of_peers.find(id);
    return found != view.of_peers.end() &&
           found->second.good >= calls_to_outweigh_warnings &&
           now - found->second.good_at <= peers_trust;
}

base::steady_time time_in(
    const std::unordered_map<std::string, base::steady_time>& times,
    const std::string& id) {
    const auto found = times.find(id);
    return found == times.end() ? base::steady_time{} : found->second;
}

/// @return when no own experience, peer's warning or order speaks against the
/// server any more.
base::steady_time usable_from(
    const health_view& view, const std::string& id, base::steady_time now) {
    const base::steady_time ordered = std::max(
        time_in(view.ordered_until, id), time_in(view.peers_ordered_until, id));
    if (trusted_by_many(view, id, now))
        return ordered;
    const auto told = view.of_peers.find(id);
    const base::steady_time paused = told == view.of_peers.end()
                                         ? base::steady_time{}
                                         : told->second.avoid_until;
    return std::max(
        {ordered, paused, avoided_until(view, id),
         time_in(view.warned_until, id)});
}

} // namespace

bool avoided(
    const health_view& view, const std::string& id, base::steady_time now) {
    return usable_from(view, id, now) > now;
}

base::steady_time
avoided_until(const health_view& view, const std::string& id) {
    const auto found = view.own.find(id);
    return found == view.own.end() ? base::steady_time{}
                                   : found->second.avoid_until;
}

base::milliseconds avoided_for(
    const health_view& view, const std::string& id, base::steady_time now) {
    return base::time_left(
        std::max(usable_from(view, id, now), rest_end(view.resting, id)), now);
}

} // namespace mintknot::policy
