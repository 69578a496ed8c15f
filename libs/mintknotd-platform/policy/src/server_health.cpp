#include <mintknot/policy/server_health.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mintknot::policy {

namespace {

/// Time in which a result loses half of its weight: some ejections long, so
/// that a server is judged by what it did around them.
constexpr std::chrono::duration<double> half_life{6.0};

/// An ejection lasts so long at first and doubles with each one that follows
/// before the server is trusted again. A restart takes seconds.
constexpr base::milliseconds first_ejection{1500};
constexpr base::milliseconds max_ejection{8000};
constexpr int max_doublings = 3;

/// Failures in a row after which a server is ejected.
constexpr int failures_to_eject = 3;
/// The same for slow answers: one may lie in the request.
constexpr int slow_calls_to_eject = 2;

/// Rejections in a row after which a server is paused, longer with each further
/// one up to so many pauses: one that turns everything away looks idle.
constexpr int rejections_to_pause = 2;
constexpr base::milliseconds rejection_pause{500};
constexpr int max_rejection_pauses = 4;
/// Results of one server that wait to be told: far more than come between two
/// reports. In small groups nobody is told, and the counts stay here.
constexpr int max_untold = 1000;
/// Rejections of one report that count: more make no pause longer.
constexpr int max_rejections = rejections_to_pause + max_rejection_pauses;

/// How long a server is avoided that is no longer at its address: its row goes
/// before that.
constexpr base::milliseconds misdirected_ejection{10000};
/// How much longer a server is avoided after a failed health check. A check a
/// second, as balancers do.
constexpr base::milliseconds failed_check_ejection{1200};

/// Share of failures above which a server is ejected, once its recent calls
/// weigh so much.
constexpr double share_to_eject = 0.5;
constexpr double calls_to_judge = 4.0;

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

void count(int& results) {
    results = std::min(results + 1, max_untold);
}

/// What lies between this instance and the server is nobody else's.
void note_untold(health_view& view, const std::string& id, call_result result) {
    if (result == call_result::good)
        count(view.untold[id].good);
    else if (result == call_result::failed || result == call_result::silent)
        count(view.untold[id].bad);
    else if (result == call_result::rejected)
        count(view.untold[id].rejected);
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
    note_untold(view, id, result);
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

void note_peer_results(
    health_view& view, const result_map& results, base::steady_time now) {
    for (const auto& [id, counts] : results) {
        health_record& record = view.of_peers[id];
        decay(record, now);
        record.good += counts.good;
        record.bad += counts.bad;
        if (counts.good > 0) {
            record.good_at = now;
            record.rejections_in_a_row = 0;
            continue;
        }
        for (int i = 0; i < std::min(counts.rejected, max_rejections); ++i)
            note_rejection(record, now);
    }
}

result_map take_untold(health_view& view) {
    return std::exchange(view.untold, {});
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
    // One good call is taken for granted, so that a single failure does not
    // condemn a server.
    double calls = 1.0;
    double bad = 0.0;
    for (const auto* records : {&view.own, &view.of_peers}) {
        const auto found = records->find(id);
        if (found == records->end())
            continue;
        calls += found->second.good + found->second.bad;
        bad += found->second.bad;
    }
    return bad / calls;
}

void forget(health_view& view, const std::string& id) {
    view.own.erase(id);
    view.of_peers.erase(id);
    view.untold.erase(id);
    view.warned_until.erase(id);
    view.ordered_until.erase(id);
    view.peers_ordered_until.erase(id);
    view.limits.servers.erase(id);
}

} // namespace mintknot::policy
