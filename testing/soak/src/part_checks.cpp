#include "part_checks.hpp"

#include "soak_parts.hpp"
#include "stream_events.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace mintknot::soak {

namespace {

/// Engines that may end before the part is to be known.
constexpr std::size_t allowed_crashes = 5;
/// Requests with it that are borne after that.
constexpr std::size_t allowed_late = 3;
/// Fewer requests tell nothing.
constexpr std::size_t min_compared = 20;
constexpr double min_share_of_before = 0.5;

/// The crashes under one part, and the requests that had it.
struct part_history {
    std::vector<base::steady_time> crashes;
    std::map<std::string, const caller_record*> requests;
    std::set<std::string> first_parts;
    base::steady_time last_sent{};
};

std::map<std::string, part_history> histories(
    const std::vector<caller_record>& records, const server_notes& notes) {
    std::map<std::string, part_history> found;
    std::map<std::string, std::string> part_of;
    for (const caller_record& record : records) {
        if (record.crashing_part.empty())
            continue;
        part_history& history = found[record.crashing_part];
        history.requests[record.id] = &record;
        history.first_parts.insert(record.first_part);
        history.last_sent = std::max(history.last_sent, record.sent);
        part_of[record.id] = record.crashing_part;
    }
    for (const server_event& crash : notes.crashes)
        if (part_of.contains(crash.request))
            found[part_of.at(crash.request)].crashes.push_back(crash.at);
    for (auto& [part, history] : found)
        std::sort(history.crashes.begin(), history.crashes.end());
    return found;
}

std::size_t count_late(
    const part_history& history, const server_notes& notes,
    const std::vector<disturbance>& disturbances) {
    if (history.crashes.size() < allowed_crashes)
        return 0;
    const base::steady_time bound =
        history.crashes[allowed_crashes - 1] + contact_time;
    std::set<std::string> late;
    for (const server_event& arrival : notes.marked) {
        const auto request = history.requests.find(arrival.request);
        if (request != history.requests.end() && arrival.at > bound &&
            is_in_touch(disturbances, request->second->instance, arrival.at))
            late.insert(arrival.request);
    }
    return late.size();
}

bool begins(const caller_record& record) {
    return record.status == 200 &&
           (record.whole || !whole_events(record.body).empty());
}

void count_sound(
    part_tally& tally, const part_history& history,
    const std::vector<caller_record>& records,
    const std::vector<disturbance>& disturbances) {
    if (history.crashes.empty())
        return;
    const std::size_t last =
        std::min(history.crashes.size(), allowed_crashes) - 1;
    const base::steady_time known = history.crashes[last] + 2 * contact_time;
    for (const caller_record& record : records) {
        if (!record.crashing_part.empty() || record.left_at ||
            !history.first_parts.contains(record.first_part) ||
            !is_in_touch(disturbances, record.instance, record.sent))
            continue;
        if (record.sent < history.crashes.front()) {
            ++tally.before;
            tally.before_begun += begins(record) ? 1 : 0;
        } else if (record.sent >= known && record.sent <= history.last_sent) {
            ++tally.after;
            tally.after_begun += begins(record) ? 1 : 0;
        }
    }
}

double share(std::size_t part, std::size_t all) {
    return all == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(all);
}

bool is_comparable(const part_tally& tally) {
    return tally.before >= min_compared && tally.after >= min_compared;
}

} // namespace

std::vector<part_tally> tally_parts(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances) {
    std::vector<part_tally> tallies;
    for (const auto& [part, history] : histories(records, notes)) {
        part_tally tally;
        tally.part = part;
        tally.crashes = history.crashes.size();
        tally.late = count_late(history, notes, disturbances);
        count_sound(tally, history, records, disturbances);
        tallies.push_back(tally);
    }
    return tallies;
}

std::vector<std::string>
broken_by_parts(const std::vector<part_tally>& tallies) {
    std::vector<std::string> broken;
    for (const part_tally& tally : tallies) {
        if (tally.late > allowed_late)
            broken.push_back(fmt::format(
                "{} requests with {}, under which five engines had ended, were "
                "sent to engines; {} ended in all",
                tally.late, tally.part, tally.crashes));
        if (is_comparable(tally) &&
            share(tally.after_begun, tally.after) <
                min_share_of_before * share(tally.before_begun, tally.before))
            broken.push_back(fmt::format(
                "{} of {} sound requests beside {} began, {} of {} before",
                tally.after_begun, tally.after, tally.part, tally.before_begun,
                tally.before));
    }
    return broken;
}

std::string to_string(const part_tally& tally) {
    return fmt::format(
        "{}: {} engines ended, {} late sends; sound {} of {} began, {} of {} "
        "before{}",
        tally.part, tally.crashes, tally.late, tally.after_begun, tally.after,
        tally.before_begun, tally.before,
        is_comparable(tally) ? "" : " (too few to compare)");
}

} // namespace mintknot::soak
