#include <mintknot/policy/answer_timeout.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Timeout as a multiple of the round-trip time.
constexpr int timeout_factor = 2;
/// Upper bound of the timeout, as a frozen instance answers only after seconds.
/// Three round trips between the known regions.
constexpr base::milliseconds max_timeout{120};
/// Decay of the maximum per answer: about twenty fast answers bring the timeout
/// of a nearby host back to its minimum.
constexpr double decay = 0.9;

} // namespace

void note_query_sent(
    answer_times& times, const std::string& host, base::steady_time now) {
    answer_times::host_times& entry = times.by_host[host];
    entry.sent_at = now;
    entry.awaiting_answer = true;
}

void note_answer_received(
    answer_times& times, const std::string& host, base::steady_time now) {
    const auto found = times.by_host.find(host);
    if (found == times.by_host.end() || !found->second.awaiting_answer)
        return;
    answer_times::host_times& entry = found->second;
    entry.awaiting_answer = false;
    const auto elapsed =
        std::chrono::duration_cast<base::milliseconds>(now - entry.sent_at);
    const auto decayed = std::chrono::duration_cast<base::milliseconds>(
        entry.round_trip * decay);
    entry.round_trip = std::min(std::max(elapsed, decayed), max_timeout);
}

base::milliseconds answer_timeout(
    const answer_times& times, const std::string& host,
    base::milliseconds min_timeout) {
    const auto found = times.by_host.find(host);
    if (found == times.by_host.end())
        return min_timeout;
    return std::clamp(
        found->second.round_trip * timeout_factor, min_timeout,
        std::max(min_timeout, max_timeout));
}

} // namespace mintknot::policy
