#include <mintknot/policy/answer_pace.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// An answer may take so many times as long as those before.
constexpr int patience_factor = 2;
/// However slow answers were, nobody waits longer: a frozen instance answers
/// after seconds. Three round trips between the regions that are known.
constexpr base::milliseconds max_patience{120};
/// Part of the longest time that each shorter one leaves: some twenty quick
/// answers make a host near again.
constexpr double kept_part = 0.9;

} // namespace

void note_asked(
    answer_paces& paces, const std::string& host, base::steady_time now) {
    answer_paces::pace& entry = paces.by_host[host];
    entry.asked = now;
    entry.waits = true;
}

void note_answered(
    answer_paces& paces, const std::string& host, base::steady_time now) {
    const auto found = paces.by_host.find(host);
    if (found == paces.by_host.end() || !found->second.waits)
        return;
    answer_paces::pace& entry = found->second;
    entry.waits = false;
    const auto took =
        std::chrono::duration_cast<base::milliseconds>(now - entry.asked);
    const auto faded = std::chrono::duration_cast<base::milliseconds>(
        entry.round_trip * kept_part);
    entry.round_trip = std::min(std::max(took, faded), max_patience);
}

base::milliseconds patience_for(
    const answer_paces& paces, const std::string& host,
    base::milliseconds least) {
    const auto found = paces.by_host.find(host);
    if (found == paces.by_host.end())
        return least;
    return std::clamp(
        found->second.round_trip * patience_factor, least,
        std::max(least, max_patience));
}

} // namespace mintknot::policy
