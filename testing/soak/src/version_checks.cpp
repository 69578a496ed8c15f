#include "version_checks.hpp"

#include "soak_parts.hpp"
#include "stream_events.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace mintknot::soak {

namespace {

/// Streams with events of two versions that are borne.
constexpr std::size_t allowed_joins = 2;
/// Fewer streams that were taken up tell nothing.
constexpr std::size_t min_taken_up = 12;
/// Of their version, for a stream to be counted.
constexpr std::ptrdiff_t min_engines = 2;
constexpr double min_share_of_new = 0.5;
constexpr std::size_t joins_in_line = 5;

const std::string& stream_of(const caller_record& record) {
    return record.resumes.empty() ? record.id : record.resumes;
}

/// @return the versions whose events each stream holds, over all tries.
std::map<std::string, std::set<std::string>>
versions_of_streams(const std::vector<caller_record>& records) {
    std::map<std::string, std::set<std::string>> versions;
    for (const caller_record& record : records)
        for (const stream_event& event : whole_events(record.body))
            if (!event.version.empty())
                versions[stream_of(record)].insert(event.version);
    return versions;
}

/// @return true if the engine served from contact_time before until then.
bool served_well(
    const engine_life& life, base::steady_time at,
    const std::vector<disturbance>& disturbances) {
    return life.from + contact_time <= at && at < life.until &&
           !is_disturbed(disturbances, life.part, at);
}

bool goes_on(const caller_record& record) {
    return record.status == 200 &&
           (record.whole || !whole_events(record.body).empty());
}

/// @return true if the request is a sound stream at an instance in touch.
bool is_counted(
    const caller_record& record, const std::vector<disturbance>& disturbances) {
    const bool is_stream = record.kind == request_kind::stream ||
                           record.kind == request_kind::resumable;
    return is_stream && !record.left_at && record.mark.empty() &&
           record.crashing_part.empty() &&
           is_in_touch(disturbances, record.instance, record.sent);
}

/// @return the number of decode engines of these versions that served well.
std::ptrdiff_t count_engines(
    const std::set<std::string>& versions,
    const std::vector<engine_life>& lives, base::steady_time at,
    const std::vector<disturbance>& disturbances) {
    return std::count_if(
        lives.begin(), lives.end(), [&](const engine_life& life) {
            return life.decodes && versions.contains(life.version) &&
                   served_well(life, at, disturbances);
        });
}

double share(std::size_t part, std::size_t all) {
    return all == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

version_tally tally_versions(
    const std::vector<caller_record>& records,
    const std::vector<engine_life>& lives,
    const std::vector<disturbance>& disturbances) {
    version_tally tally;
    const auto versions = versions_of_streams(records);
    for (const auto& [stream, found] : versions)
        if (found.size() > 1)
            tally.joined.push_back(stream);
    for (const caller_record& record : records) {
        tally.taken_up += record.resumes.empty() ? 0 : 1;
        if (!is_counted(record, disturbances))
            continue;
        if (record.resumes.empty()) {
            ++tally.new_counted;
            tally.new_begun += goes_on(record) ? 1 : 0;
            continue;
        }
        const auto known = versions.find(record.resumes);
        if (known == versions.end() ||
            count_engines(known->second, lives, record.sent, disturbances) <
                min_engines)
            continue;
        ++tally.resumed_counted;
        tally.resumed_begun += goes_on(record) ? 1 : 0;
    }
    return tally;
}

std::vector<std::string> broken_by_versions(const version_tally& tally) {
    std::vector<std::string> broken;
    if (tally.joined.size() > allowed_joins) {
        std::string some;
        for (std::size_t i = 0;
             i < std::min(joins_in_line, tally.joined.size()); ++i)
            some += " " + tally.joined[i];
        broken.push_back(fmt::format(
            "{} streams hold events of two versions:{}", tally.joined.size(),
            some));
    }
    if (tally.resumed_counted >= min_taken_up &&
        share(tally.resumed_begun, tally.resumed_counted) <
            min_share_of_new * share(tally.new_begun, tally.new_counted))
        broken.push_back(fmt::format(
            "{} of {} streams that were taken up went on, {} of {} new ones "
            "began",
            tally.resumed_begun, tally.resumed_counted, tally.new_begun,
            tally.new_counted));
    return broken;
}

std::string to_string(const version_tally& tally) {
    return fmt::format(
        "{} taken up, {} joined; in touch {} of {} went on{}, {} of {} new "
        "began",
        tally.taken_up, tally.joined.size(), tally.resumed_begun,
        tally.resumed_counted,
        tally.resumed_counted < min_taken_up ? " (too few to compare)" : "",
        tally.new_begun, tally.new_counted);
}

} // namespace mintknot::soak
