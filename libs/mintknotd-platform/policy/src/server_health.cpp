#include <mintknot/policy/server_health.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::policy {

namespace {

/// Time in which a result loses half of its weight: some ejections long, so
/// that a server is judged by what it did around them. Not measured.
constexpr std::chrono::duration<double> half_life{6.0};

/// An ejection lasts so long at first and doubles with each one that follows
/// before the server is trusted again. Not measured: a restart takes seconds.
constexpr base::milliseconds first_ejection{1500};
constexpr base::milliseconds max_ejection{8000};
constexpr int max_doublings = 3;

/// Failures in a row after which a server is ejected. Not measured.
constexpr int failures_to_eject = 3;
/// The same for slow answers: one may lie in the request. With one, 58 healthy
/// servers were ejected on a day without trouble.
constexpr int slow_calls_to_eject = 2;

/// Rejections in a row after which a server is paused, longer with each further
/// one up to so many pauses. A single one with 250 ms lowered worth from 0.522
/// to 0.516 (thirty plays), which is within chance. Without a pause one engine
/// that turned everything away was chosen 153 times in 6 s.
constexpr int rejections_to_pause = 2;
constexpr base::milliseconds rejection_pause{500};
constexpr int max_rejection_pauses = 4;

/// How long a server is avoided that is no longer at its address: its row goes
/// before that. Not measured.
constexpr base::milliseconds misdirected_ejection{10000};
/// How much longer a server is avoided after a failed health check. Not
/// measured: a check a second, as balancers do.
constexpr base::milliseconds failed_check_ejection{1200};

/// Share of failures above which a server is ejected, once its recent calls
/// weigh so much. Not measured.
constexpr double share_to_eject = 0.5;
constexpr double calls_to_judge = 4.0;

/// A peer's warning does not count so soon after an own good call: the fault
/// may lie between the peer and the server. Not measured.
constexpr base::milliseconds own_trust{700};

void decay(health_record& record, base::steady_time now) {
    const std::chrono::duration<double> passed = now - record.changed;
    const double factor = std::exp2(-passed / half_life);
    record.good *= factor;
    record.bad *= factor;
    record.changed = now;
}

bool eject(health_record& record, call_result result, base::steady_time now) {
    const bool fresh = record.avoid_until <= now;
    const int doublings = std::min(record.ejections, max_doublings);
    const base::milliseconds time =
        result == call_result::misdirected
            ? misdirected_ejection
            : std::min(max_ejection, first_ejection * (1 << doublings));
    record.avoid_until = std::max(record.avoid_until, now + time);
    if (fresh)
        ++record.ejections;
    return fresh;
}

/// A server that turns everything away has nothing to do and would be chosen
/// again and again for that.
bool note_rejection(health_record& record, base::steady_time now) {
    ++record.rejections_in_a_row;
    if (record.rejections_in_a_row < rejections_to_pause)
        return false;
    const bool fresh = record.avoid_until <= now;
    const int steps = std::min(
        record.rejections_in_a_row - rejections_to_pause + 1,
        max_rejection_pauses);
    record.avoid_until =
        std::max(record.avoid_until, now + rejection_pause * steps);
    return fresh;
}

bool to_be_ejected(const health_record& record, call_result result) {
    if (result == call_result::unreachable || result == call_result::silent ||
        result == call_result::misdirected)
        return true;
    if (result == call_result::slow)
        return record.failures_in_a_row >= slow_calls_to_eject;
    if (result != call_result::failed)
        return false;
    if (record.failures_in_a_row >= failures_to_eject)
        return true;
    const double calls = record.good + record.bad;
    return calls >= calls_to_judge && record.bad > share_to_eject * calls;
}

void note_good(health_record& record, base::steady_time now) {
    record.good += 1.0;
    record.failures_in_a_row = 0;
    record.rejections_in_a_row = 0;
    record.good_at = now;
    if (record.avoid_until <= now)
        record.ejections = std::max(0, record.ejections - 1);
}

} // namespace

std::string_view to_string(call_result value) noexcept {
    switch (value) {
    case call_result::good:
        return "good";
    case call_result::failed:
        return "failed";
    case call_result::rejected:
        return "rejected";
    case call_result::unreachable:
        return "unreachable";
    case call_result::silent:
        return "silent";
    case call_result::slow:
        return "slow";
    case call_result::misdirected:
        return "misdirected";
    }
    return "unknown";
}

bool note(
    health_view& view, const std::string& id, call_result result,
    base::steady_time now) {
    health_record& record = view.own[id];
    decay(record, now);
    if (result == call_result::good) {
        note_good(record, now);
        return false;
    }
    if (result == call_result::rejected)
        return note_rejection(record, now);
    record.bad += 1.0;
    ++record.failures_in_a_row;
    return to_be_ejected(record, result) && eject(record, result, now);
}

void note_check(
    health_view& view, const std::string& id, bool passed,
    base::steady_time now) {
    health_record& record = view.own[id];
    if (!passed) {
        record.avoid_until = now + failed_check_ejection;
        return;
    }
    record.avoid_until = now;
    record.failures_in_a_row = 0;
}

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

/// @return when no own experience, peer's warning or order speaks against the
/// server any more.
base::steady_time usable_from(const health_view& view, const std::string& id) {
    base::steady_time until = avoided_until(view, id);
    for (const auto* times :
         {&view.warned_until, &view.ordered_until, &view.peers_ordered_until}) {
        const auto found = times->find(id);
        if (found != times->end())
            until = std::max(until, found->second);
    }
    return until;
}

} // namespace

bool avoided(
    const health_view& view, const std::string& id, base::steady_time now) {
    return usable_from(view, id) > now;
}

base::steady_time
avoided_until(const health_view& view, const std::string& id) {
    const auto found = view.own.find(id);
    return found == view.own.end() ? base::steady_time{}
                                   : found->second.avoid_until;
}

base::milliseconds avoided_for(
    const health_view& view, const std::string& id, base::steady_time now) {
    return std::max(
        base::milliseconds{0}, base::time_left(usable_from(view, id), now));
}

base::milliseconds outage_age(
    const health_view& view, const std::vector<const traffic::server*>& servers,
    base::steady_time now) {
    base::steady_time last_good{};
    for (const traffic::server* known : servers) {
        const auto found = view.own.find(known->id);
        if (found != view.own.end())
            last_good = std::max(last_good, found->second.good_at);
    }
    if (last_good == base::steady_time{})
        return base::milliseconds{0};
    return std::chrono::duration_cast<base::milliseconds>(now - last_good);
}

double failure_share(const health_view& view, const std::string& id) {
    const auto found = view.own.find(id);
    if (found == view.own.end())
        return 0.0;
    const health_record& record = found->second;
    // One good call is taken for granted, so that a single failure does not
    // condemn a server.
    return record.bad / (record.good + record.bad + 1.0);
}

void forget(health_view& view, const std::string& id) {
    view.own.erase(id);
    view.warned_until.erase(id);
    view.ordered_until.erase(id);
    view.peers_ordered_until.erase(id);
}

} // namespace mintknot::policy
