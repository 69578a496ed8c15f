#include <mintknot/policy/crash_evidence.hpp>

#include "request_blocks.hpp"

#include <algorithm>
#include <set>

namespace mintknot::policy {

namespace {

constexpr std::size_t max_suspects = 2048;
constexpr std::size_t max_ends = 4096;
/// Number of crashes stored per request; more do not change the result.
constexpr std::size_t max_crashes_kept = 8;
/// How long a crash counts against a request.
constexpr base::milliseconds suspect_lifetime{10 * 60 * 1000};
/// Minimum run time of a request that can have caused a crash. A proxy in front
/// of a missing server closes calls immediately.
constexpr base::milliseconds min_run{3};
/// Maximum difference between the times in reports of different instances.
constexpr base::milliseconds max_report_skew{5};
/// Evicts the suspect with the fewest crashes if the table is full, so that
/// many requests with one crash each do not displace those with more.
void make_room(std::map<std::string, crash_suspect>& suspects) {
    if (suspects.size() < max_suspects)
        return;
    suspects.erase(std::min_element(
        suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
            const std::size_t left = a.second.crashes.size();
            const std::size_t right = b.second.crashes.size();
            return left != right ? left < right : a.second.last < b.second.last;
        }));
}

/// Crash of a server and the start of the request's run there.
struct observed_crash {
    base::steady_time began;
    base::steady_time ended;
    bool server_was_up = true; ///< Known to have been, when the run began.
};

bool server_was_up(const crash_evidence& evidence, const crash_record& crash) {
    switch (crash.liveness) {
    case server_liveness::doubtful:
        return false;
    case server_liveness::assumed:
        return crash.began >= evidence.complete_since;
    case server_liveness::heard:
        return true;
    }
    return false;
}

/// @return the crashes that the request may have caused, ordered by time.
std::vector<observed_crash> possible_crashes(
    const crash_evidence& evidence, const crash_suspect& suspect,
    const std::set<std::string>& explained) {
    std::vector<observed_crash> ends;
    for (const crash_record& crash : suspect.crashes) {
        const auto end = evidence.ends.find(crash.server_incarnation);
        const base::steady_time ended =
            end == evidence.ends.end() ? crash.broke : end->second;
        if (!explained.contains(crash.server_incarnation) &&
            crash.began < ended + max_report_skew)
            ends.push_back(
                {crash.began, ended, server_was_up(evidence, crash)});
    }
    std::sort(
        ends.begin(), ends.end(),
        [](const observed_crash& a, const observed_crash& b) {
            return a.ended < b.ended;
        });
    return ends;
}

/// @return the number of consecutive crashes, in which each run began after the
/// previous crash.
std::size_t count_consecutive(const std::vector<observed_crash>& ends) {
    std::size_t count = 0;
    base::steady_time last{};
    for (const observed_crash& end : ends) {
        if (count > 0 && end.began + max_report_skew < last)
            continue;
        ++count;
        last = end.ended;
    }
    return count;
}

base::steady_time::duration
longest_run(const std::vector<observed_crash>& ends) {
    base::steady_time::duration longest{0};
    for (const observed_crash& end : ends)
        longest = std::max(longest, end.ended - end.began);
    return longest;
}

void note_crash_time(crash_evidence& evidence, const crash_record& crash) {
    const auto [entry, fresh] =
        evidence.ends.emplace(crash.server_incarnation, crash.broke);
    entry->second = std::min(entry->second, crash.broke);
    if (fresh && evidence.ends.size() > max_ends)
        evidence.ends.erase(std::min_element(
            evidence.ends.begin(), evidence.ends.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; }));
}

/// @return the server incarnations whose crash is attributed to other requests.
std::set<std::string> explained_incarnations(
    const crash_evidence& evidence, const std::string& digest,
    base::steady_time now) {
    const auto own_longest_run = longest_run(
        possible_crashes(evidence, evidence.suspects.at(digest), {}));
    std::set<std::string> incarnations;
    for (const auto& [other, suspect] : evidence.suspects) {
        if (other == digest || suspect.crashes.size() < max_crashes)
            continue;
        const std::vector<observed_crash> ends =
            possible_crashes(evidence, suspect, {});
        const bool is_cause = blocked_for(evidence, other, now) ||
                              (longest_run(ends) < own_longest_run &&
                               count_consecutive(ends) >= max_crashes);
        if (!is_cause)
            continue;
        for (const crash_record& crash : suspect.crashes)
            incarnations.insert(crash.server_incarnation);
    }
    return incarnations;
}

std::vector<std::string>
take_due(crash_evidence& evidence, base::steady_time now) {
    std::vector<std::string> due;
    for (auto& [digest, suspect] : evidence.suspects) {
        if (!suspect.evaluate_at || *suspect.evaluate_at > now)
            continue;
        suspect.evaluate_at.reset();
        due.push_back(digest);
    }
    return due;
}

} // namespace

void note_crash(
    crash_evidence& evidence, const request_key& key, const crash_record& crash,
    base::steady_time now) {
    if (crash.broke - crash.began < min_run)
        return;
    note_crash_time(evidence, crash);
    if (cleared_after(evidence, key.digest, crash.broke))
        return;
    if (!evidence.suspects.contains(key.digest))
        make_room(evidence.suspects);
    crash_suspect& suspect = evidence.suspects[key.digest];
    suspect.body_bytes = key.body_bytes;
    const auto known = std::find_if(
        suspect.crashes.begin(), suspect.crashes.end(),
        [&](const crash_record& earlier) {
            return earlier.server_incarnation == crash.server_incarnation;
        });
    if (known != suspect.crashes.end()) {
        known->began = std::min(known->began, crash.began);
        known->liveness = std::max(known->liveness, crash.liveness);
        return;
    }
    suspect.last = now;
    if (suspect.crashes.size() >= max_crashes_kept)
        suspect.crashes.erase(suspect.crashes.begin());
    suspect.crashes.push_back(crash);
    if (suspect.crashes.size() >= max_crashes && !suspect.evaluate_at)
        suspect.evaluate_at = now + crash_report_time;
}

std::vector<block_entry>
evaluate_suspects(crash_evidence& evidence, base::steady_time now) {
    std::vector<block_entry> fresh;
    for (const std::string& digest : take_due(evidence, now)) {
        if (blocked_for(evidence, digest, now))
            continue;
        const crash_suspect& suspect = evidence.suspects.at(digest);
        std::vector<observed_crash> ends = possible_crashes(
            evidence, suspect, explained_incarnations(evidence, digest, now));
        std::erase_if(
            ends, [](const observed_crash& end) { return !end.server_was_up; });
        if (count_consecutive(ends) < max_crashes)
            continue;
        fresh.push_back(add_block(evidence, {digest, suspect.body_bytes}, now));
    }
    return fresh;
}

std::optional<base::steady_time>
next_evaluation(const crash_evidence& evidence) {
    std::optional<base::steady_time> next;
    for (const auto& [digest, suspect] : evidence.suspects)
        if (suspect.evaluate_at && (!next || *suspect.evaluate_at < *next))
            next = suspect.evaluate_at;
    return next;
}

void expire(crash_evidence& evidence, base::steady_time now) {
    expire_blocks(evidence, now);
    std::erase_if(evidence.suspects, [&](const auto& entry) {
        return entry.second.last + suspect_lifetime <= now &&
               !evidence.blocked.contains(entry.first);
    });
    std::erase_if(evidence.ends, [now](const auto& entry) {
        return entry.second + suspect_lifetime <= now;
    });
}

} // namespace mintknot::policy
