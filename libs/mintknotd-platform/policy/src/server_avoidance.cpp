/// @file
/// Combines own results, warnings of peers and phase change orders into the
/// decision to avoid a server.

#include <mintknot/policy/server_health.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// A peer's warning is ignored for this long after an own successful call: the
/// fault may lie between the peer and the server.
constexpr base::milliseconds own_success_validity{700};

/// Decayed number of successful calls of peers that outweighs the warning of a
/// single instance: about five calls a second. With fewer, a warning of a crash
/// is believed at once.
constexpr double calls_to_outweigh_warnings = 40.0;
/// Longest age of the last of these calls: reports are sent every 60 ms.
constexpr base::milliseconds peer_success_validity{200};

} // namespace

void note_phase_change(
    health_view& view, const std::string& id, base::steady_time until) {
    view.phase_change_until[id] = until;
}

void note_peer_phase_change(
    health_view& view, const std::string& id, base::steady_time until) {
    // A later message about the same order must not extend it, or a change that
    // has already ended would begin again.
    view.peer_phase_change_until.emplace(id, until);
}

bool is_changing_phase(
    const health_view& view, const std::string& id, base::steady_time now) {
    const auto is_later = [&](const auto& times) {
        const auto found = times.find(id);
        return found != times.end() && found->second > now;
    };
    return is_later(view.phase_change_until) ||
           is_later(view.peer_phase_change_until);
}

void end_phase_change(health_view& view, const std::string& id) {
    view.phase_change_until.erase(id);
    view.warned_until.erase(id);
    // Kept with a time in the past: a peer may still report the change for a
    // while.
    view.peer_phase_change_until[id] = base::steady_time{};
}

bool note_peer_warning(
    health_view& view, const std::string& id, base::steady_time until,
    base::steady_time now) {
    const auto found = view.own_records.find(id);
    if (found != view.own_records.end() &&
        now - found->second.last_success < own_success_validity)
        return false;
    base::steady_time& warned = view.warned_until[id];
    const bool fresh = warned <= now && until > now;
    warned = std::max(warned, until);
    return fresh;
}

std::vector<server_warning>
own_warnings(const health_view& view, base::steady_time now) {
    std::vector<server_warning> warnings;
    for (const auto& [id, record] : view.own_records)
        if (record.avoid_until > now)
            warnings.push_back({id, base::time_left(record.avoid_until, now)});
    return warnings;
}

namespace {

bool has_many_peer_successes(
    const health_view& view, const std::string& id, base::steady_time now) {
    const auto found = view.peer_records.find(id);
    return found != view.peer_records.end() &&
           found->second.good >= calls_to_outweigh_warnings &&
           now - found->second.last_success <= peer_success_validity;
}

base::steady_time time_in(
    const std::unordered_map<std::string, base::steady_time>& times,
    const std::string& id) {
    const auto found = times.find(id);
    return found == times.end() ? base::steady_time{} : found->second;
}

/// @return the time from which neither own results nor peers' reports nor
/// orders keep the server from being used.
base::steady_time usable_from(
    const health_view& view, const std::string& id, base::steady_time now) {
    const base::steady_time ordered = std::max(
        time_in(view.phase_change_until, id),
        time_in(view.peer_phase_change_until, id));
    if (has_many_peer_successes(view, id, now))
        return ordered;
    const auto reported = view.peer_records.find(id);
    const base::steady_time paused = reported == view.peer_records.end()
                                         ? base::steady_time{}
                                         : reported->second.avoid_until;
    return std::max(
        {ordered, paused, avoided_until(view, id),
         time_in(view.warned_until, id)});
}

} // namespace

bool is_avoided(
    const health_view& view, const std::string& id, base::steady_time now) {
    return usable_from(view, id, now) > now;
}

base::steady_time
avoided_until(const health_view& view, const std::string& id) {
    const auto found = view.own_records.find(id);
    return found == view.own_records.end() ? base::steady_time{}
                                           : found->second.avoid_until;
}

base::milliseconds avoided_for(
    const health_view& view, const std::string& id, base::steady_time now) {
    return base::time_left(
        std::max(usable_from(view, id, now), rest_end(view.resting, id)), now);
}

} // namespace mintknot::policy
