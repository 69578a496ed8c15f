#include <mintknot/policy/server_health.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mintknot::policy {

namespace {

/// Half-life of a result: a few ejections long, so that a server is rated by
/// its results around them.
constexpr std::chrono::duration<double> half_life{6.0};

/// Duration of the first ejection; it doubles with each further one until the
/// server is healthy again. A restart takes seconds.
constexpr base::milliseconds first_ejection{1500};
constexpr base::milliseconds max_ejection{8000};
constexpr int max_doublings = 3;

/// Consecutive failures after which a server is ejected.
constexpr int failures_to_eject = 3;
/// The same for slow answers: a single one may be due to the request.
constexpr int slow_calls_to_eject = 2;

/// Consecutive rejections after which a server is paused, longer with each
/// further one up to max_rejection_pauses pauses: a server that rejects
/// everything looks idle.
constexpr int rejections_to_pause = 2;
constexpr base::milliseconds rejection_pause{500};
constexpr int max_rejection_pauses = 4;
/// Upper bound on the unreported results of one server, far more than occur
/// between two reports. Small groups send no reports, and the counts are never
/// taken.
constexpr int max_unreported = 1000;
/// Rejections of one report that count: more would not make the pause longer.
constexpr int max_rejections = rejections_to_pause + max_rejection_pauses;

/// How long a server is avoided that is no longer at its address: its row is
/// removed before that.
constexpr base::milliseconds misdirected_ejection{10000};
/// How much longer a server is avoided after a failed health check. There is
/// one check a second, as load balancers do it.
constexpr base::milliseconds failed_check_ejection{1200};

/// Share of failures above which a server is ejected, once the decayed number
/// of its recent calls reaches min_calls_for_share.
constexpr double share_to_eject = 0.5;
constexpr double min_calls_for_share = 4.0;

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

/// A server that rejects everything has no load and would be chosen again and
/// again for that.
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

bool should_eject(const health_record& record, call_result result) {
    if (result == call_result::unreachable || result == call_result::silent ||
        result == call_result::misdirected)
        return true;
    if (result == call_result::slow)
        return record.failures_in_a_row >= slow_calls_to_eject;
    if (result != call_result::failed && result != call_result::broken)
        return false;
    if (record.failures_in_a_row >= failures_to_eject)
        return true;
    const double calls = record.good + record.bad;
    return calls >= min_calls_for_share && record.bad > share_to_eject * calls;
}

void count(int& results) {
    results = std::min(results + 1, max_unreported);
}

/// Failures of the network between this instance and the server are not
/// reported.
void note_unreported(
    health_view& view, const std::string& id, call_result result) {
    if (result == call_result::good)
        count(view.unreported[id].good);
    else if (
        result == call_result::failed || result == call_result::broken ||
        result == call_result::silent)
        count(view.unreported[id].bad);
    else if (result == call_result::rejected)
        count(view.unreported[id].rejected);
}

void note_good(health_record& record, base::steady_time now) {
    record.good += 1.0;
    record.failures_in_a_row = 0;
    record.rejections_in_a_row = 0;
    record.last_success = now;
    if (record.avoid_until <= now)
        record.ejections = std::max(0, record.ejections - 1);
}

} // namespace

bool may_be_due_to_path(call_result value) noexcept {
    return value == call_result::broken || value == call_result::silent ||
           value == call_result::slow;
}

std::string_view to_string(call_result value) noexcept {
    switch (value) {
    case call_result::good:
        return "good";
    case call_result::failed:
        return "failed";
    case call_result::broken:
        return "broken";
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

bool note_call_result(
    health_view& view, const std::string& id, call_result result,
    base::steady_time now) {
    health_record& record = view.own_records[id];
    decay(record, now);
    note_unreported(view, id, result);
    if (result == call_result::good) {
        note_good(record, now);
        return false;
    }
    if (result == call_result::rejected)
        return note_rejection(record, now);
    record.bad += 1.0;
    ++record.failures_in_a_row;
    return should_eject(record, result) && eject(record, result, now);
}

void note_peer_results(
    health_view& view, const result_map& results, base::steady_time now) {
    for (const auto& [id, counts] : results) {
        health_record& record = view.peer_records[id];
        decay(record, now);
        record.good += counts.good;
        record.bad += counts.bad;
        if (counts.good > 0) {
            record.last_success = now;
            record.rejections_in_a_row = 0;
            continue;
        }
        for (int i = 0; i < std::min(counts.rejected, max_rejections); ++i)
            note_rejection(record, now);
    }
}

result_map take_unreported(health_view& view) {
    return std::exchange(view.unreported, {});
}

void note_health_check(
    health_view& view, const std::string& id, bool passed,
    base::steady_time now) {
    health_record& record = view.own_records[id];
    if (!passed) {
        record.avoid_until = now + failed_check_ejection;
        return;
    }
    record.avoid_until = now;
    record.failures_in_a_row = 0;
}

base::milliseconds outage_age(
    const health_view& view, const std::vector<const traffic::server*>& servers,
    base::steady_time now) {
    base::steady_time last_good{};
    for (const traffic::server* known : servers) {
        const auto found = view.own_records.find(known->id);
        if (found != view.own_records.end())
            last_good = std::max(last_good, found->second.last_success);
    }
    if (last_good == base::steady_time{})
        return base::milliseconds{0};
    return std::chrono::duration_cast<base::milliseconds>(now - last_good);
}

double failure_share(const health_view& view, const std::string& id) {
    // One success is assumed, so that a single failure does not give a share of
    // 1.
    double calls = 1.0;
    double bad = 0.0;
    for (const auto* records : {&view.own_records, &view.peer_records}) {
        const auto found = records->find(id);
        if (found == records->end())
            continue;
        calls += found->second.good + found->second.bad;
        bad += found->second.bad;
    }
    return bad / calls;
}

void forget(health_view& view, const std::string& id) {
    view.own_records.erase(id);
    view.peer_records.erase(id);
    view.unreported.erase(id);
    view.warned_until.erase(id);
    view.phase_change_until.erase(id);
    view.peer_phase_change_until.erase(id);
    view.limits.servers.erase(id);
}

} // namespace mintknot::policy
