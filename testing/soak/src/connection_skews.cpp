#include "connection_skews.hpp"

#include "soak_parts.hpp"

#include <fmt/format.h>

namespace mintknot::soak {

namespace {

/// Of the share that was served before, that is to be served during a skew.
constexpr double min_part_served = 0.75;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

double share_served(const attempt_tally& tally) {
    return static_cast<double>(tally.served) / static_cast<double>(tally.read);
}

bool is_served(const caller_record& record) {
    return record.status == status_ok && record.whole &&
           record.ended - record.sent <= caller_deadline;
}

attempt_tally tally_between(
    const std::vector<caller_record>& records, const server_notes& notes,
    base::steady_time from, base::steady_time until) {
    attempt_tally tally;
    for (const caller_record& record : records) {
        if (record.sent < from || record.sent >= until || record.left_at)
            continue;
        if (record.tried_again && !notes.runs.contains(record.id)) {
            ++tally.unread;
            continue;
        }
        ++tally.read;
        if (is_served(record))
            ++tally.served;
        else if (record.unanswered && !notes.runs.contains(record.id))
            ++tally.never_read;
        else if (record.status == status_unavailable)
            ++tally.refused;
        else
            ++tally.late;
    }
    return tally;
}

} // namespace

std::vector<skew_tally> tally_skews(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<connection_skew>& skews, base::steady_time load_began) {
    std::vector<skew_tally> tallies;
    attempt_tally calm;
    base::steady_time calm_since = load_began;
    for (const connection_skew& skew : skews) {
        const base::steady_time begin = load_began + skew.from;
        const base::steady_time end = load_began + skew.until;
        if (begin > calm_since)
            calm = tally_between(records, notes, calm_since, begin);
        tallies.push_back(
            {calm, tally_between(records, notes, begin + contact_time, end)});
        calm_since = end + contact_time;
    }
    return tallies;
}

std::string to_string(const skew_tally& skew) {
    return fmt::format(
        "served at the first attempt that was read: {} of {} before the skew, "
        "{} of {} during it (never read {}, refused {}, late {}), where {} "
        "attempts ended unread",
        skew.before.served, skew.before.read, skew.during.served,
        skew.during.read, skew.during.never_read, skew.during.refused,
        skew.during.late, skew.during.unread);
}

std::vector<std::string> broken_by_skews(const std::vector<skew_tally>& skews) {
    std::vector<std::string> broken;
    for (const skew_tally& skew : skews)
        if (skew.before.read > 0 && skew.during.read > 0 &&
            share_served(skew.during) <
                min_part_served * share_served(skew.before))
            broken.push_back(fmt::format(
                "most connections went to few instances: {}", to_string(skew)));
    return broken;
}

} // namespace mintknot::soak
