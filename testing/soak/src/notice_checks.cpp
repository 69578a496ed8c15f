/// @file
/// Checks of what instances do with what servers say in their answers: that
/// they leave, ask for rest or name a limit.

#include "soak_checks.hpp"
#include "soak_parts.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mintknot::soak {

namespace {

/// What a server asks for, from when on it counts, and how much is borne.
constexpr base::milliseconds rest_time{3000};
constexpr base::milliseconds rest_slack{500};
constexpr std::ptrdiff_t allowed_in_rest = 2;
/// Requests that a limited server may receive within any such span, and the
/// time after which an instance that received the limit has to apply it.
constexpr base::milliseconds limit_span{4000};
constexpr base::milliseconds limit_slack{500};
constexpr double limit_tolerance = 1.5;
constexpr double allowed_beyond_limit = 5.0;

} // namespace

namespace {

/// Which instance took a request, and the server that it reached.
using way = std::pair<std::size_t, std::string>;

/// What servers told instances, or got from them, by instance and server.
struct event_of_way {
    base::steady_time at;
    base::steady_time sent; ///< By the caller.
};
using events_by_way = std::map<way, std::vector<event_of_way>>;

events_by_way by_way(
    const std::vector<server_event>& events,
    const std::map<std::string, const caller_record*>& records) {
    events_by_way result;
    for (const server_event& event : events) {
        const auto found = records.find(event.request);
        if (found != records.end())
            result[{found->second->instance, event.server}].push_back(
                {event.at, found->second->sent});
    }
    return result;
}

std::string name_of(const way& which) {
    return fmt::format("{} from instance {}", which.second, which.first);
}

} // namespace

std::vector<std::string> broken_by_words(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances) {
    std::map<std::string, const caller_record*> by_id;
    for (const caller_record& record : records)
        by_id[record.id] = &record;
    const events_by_way arrivals = by_way(notes.arrivals, by_id);
    // Only what came from an instance that has been left in peace since it was
    // told: it may have been started anew, or have stood still.
    const auto arrived_since = [&](const way& which, base::steady_time told,
                                   const auto& counts) {
        const auto found = arrivals.find(which);
        if (found == arrivals.end())
            return std::ptrdiff_t{0};
        const std::string part = fmt::format("instance-{}", which.first);
        return std::count_if(
            found->second.begin(), found->second.end(),
            [&](const event_of_way& event) {
                return counts(event) && !is_disturbed_between(
                                            disturbances, part, told, event.at);
            });
    };
    std::vector<std::string> broken;
    for (const auto& [which, said] : by_way(notes.said_leaving, by_id))
        for (const event_of_way& word : said) {
            const auto late = arrived_since(
                which, word.at, [&word](const event_of_way& event) {
                    return event.sent > word.at + drain_bound;
                });
            if (late == 0)
                continue;
            broken.push_back(fmt::format(
                "{} requests reached {} after it had said that it leaves", late,
                name_of(which)));
            break;
        }
    for (const auto& [which, said] : by_way(notes.said_rest, by_id))
        for (const event_of_way& word : said) {
            const auto count = arrived_since(
                which, word.at, [&word](const event_of_way& event) {
                    return event.at > word.at + rest_slack &&
                           event.at < word.at + rest_time;
                });
            if (count <= allowed_in_rest)
                continue;
            broken.push_back(fmt::format(
                "{} requests reached {} while it rested", count,
                name_of(which)));
            break;
        }
    return broken;
}

namespace {

/// @return sorted arrivals at a server from instances that know its limit and
/// have not been disturbed since.
std::vector<base::steady_time> limited_arrivals(
    const std::string& server, base::steady_time first_advertised,
    const events_by_way& limit_answers, const events_by_way& arrivals,
    const std::vector<disturbance>& disturbances) {
    std::vector<base::steady_time> counted;
    for (const auto& [which, answers] : limit_answers) {
        const auto found = arrivals.find(which);
        if (which.second != server || found == arrivals.end())
            continue;
        const base::steady_time informed_at =
            std::min_element(
                answers.begin(), answers.end(),
                [](const event_of_way& left, const event_of_way& right) {
                    return left.at < right.at;
                })
                ->at;
        const std::string part = fmt::format("instance-{}", which.first);
        for (const event_of_way& arrival : found->second)
            if (arrival.at >= informed_at + limit_slack &&
                arrival.at >= first_advertised + contact_time &&
                !is_disturbed_between(
                    disturbances, part, informed_at, arrival.at))
                counted.push_back(arrival.at);
    }
    std::sort(counted.begin(), counted.end());
    return counted;
}

/// @return the highest number of times within any limit_span.
std::size_t max_within_span(const std::vector<base::steady_time>& times) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > limit_span)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

namespace {

/// Events of servers that advertise limits.
struct limit_events {
    events_by_way limit_answers;
    events_by_way arrivals;
    std::map<std::string, base::steady_time> first_advertised; ///< By server.
};

limit_events limit_events_of(
    const std::vector<caller_record>& records, const server_notes& notes) {
    std::map<std::string, const caller_record*> by_id;
    for (const caller_record& record : records)
        by_id[record.id] = &record;
    limit_events found;
    found.limit_answers = by_way(notes.said_limit, by_id);
    found.arrivals = by_way(notes.arrivals, by_id);
    for (const server_event& answer : notes.said_limit) {
        const auto [entry, added] =
            found.first_advertised.emplace(answer.server, answer.at);
        entry->second = std::min(entry->second, answer.at);
    }
    return found;
}

} // namespace

std::vector<std::string> broken_by_limits(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances,
    const limits_by_server& limits) {
    const limit_events events = limit_events_of(records, notes);
    std::vector<std::string> broken;
    for (const auto& [server, rate] : limits) {
        const auto advertised = events.first_advertised.find(server);
        if (advertised == events.first_advertised.end())
            continue;
        const std::size_t most = max_within_span(limited_arrivals(
            server, advertised->second, events.limit_answers, events.arrivals,
            disturbances));
        const double allowed =
            rate * limit_tolerance *
                std::chrono::duration<double>(limit_span).count() +
            allowed_beyond_limit;
        if (static_cast<double>(most) > allowed)
            broken.push_back(fmt::format(
                "{} requests reached {} in 4 s from instances that know its "
                "limit of {} requests per second; allowed {}",
                most, server, rate, static_cast<int>(allowed)));
    }
    return broken;
}

std::vector<std::string> measured_rates(
    const std::vector<caller_record>& records, const server_notes& notes,
    const limits_by_server& limits) {
    const limit_events events = limit_events_of(records, notes);
    std::vector<std::string> lines;
    for (const auto& [server, rate] : limits) {
        const auto advertised = events.first_advertised.find(server);
        if (advertised == events.first_advertised.end())
            continue;
        const base::steady_time from = advertised->second + contact_time;
        base::steady_time last = from;
        std::size_t count = 0;
        for (const server_event& arrival : notes.arrivals) {
            if (arrival.server != server || arrival.at < from)
                continue;
            ++count;
            last = std::max(last, arrival.at);
        }
        const std::chrono::duration<double> time = last - from;
        if (time.count() > 0.0)
            lines.push_back(fmt::format(
                "{} received {:.2f} requests per second, limit {}", server,
                static_cast<double>(count) / time.count(), rate));
    }
    return lines;
}

} // namespace mintknot::soak
