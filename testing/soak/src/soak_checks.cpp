#include "soak_checks.hpp"

#include "soak_parts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace mintknot::soak {

namespace {

constexpr int events_of_a_stream = 20;
constexpr int status_unavailable = 503;
/// How long after its caller has left a request may still reach a server.
constexpr base::milliseconds leaving_slack{1000};
/// A request that has crashed so many servers is to be known everywhere after
/// contact_time; so many tries more are borne.
constexpr std::size_t allowed_crashes = 3;
/// Requests may still come for so long after a server has said that it leaves.
constexpr base::milliseconds drain_bound{2000};
/// What a server asks for, from when on it counts, and how much is borne.
constexpr base::milliseconds rest_time{3000};
constexpr base::milliseconds rest_slack{500};
constexpr std::ptrdiff_t allowed_in_rest = 2;
constexpr std::size_t allowed_tries = 3;
/// Requests that a limited server may receive within any such span, and the
/// time after which an instance that received the limit has to apply it.
constexpr base::milliseconds limit_span{4000};
constexpr base::milliseconds limit_slack{500};
constexpr double limit_tolerance = 1.5;
constexpr double allowed_beyond_limit = 5.0;
/// With what the refusal of such a request begins.
constexpr std::string_view taken_for_crashing = "crashes_servers";

/// @return true if anything was done to the part in that time.
bool is_disturbed_between(
    const std::vector<disturbance>& all, const std::string& part,
    base::steady_time from, base::steady_time until) {
    return std::any_of(all.begin(), all.end(), [&](const disturbance& one) {
        return one.part == part && one.from <= until && one.until >= from;
    });
}

bool is_any_disturbed(
    const std::vector<disturbance>& all, const std::vector<std::string>& parts,
    base::steady_time at) {
    return std::any_of(
        parts.begin(), parts.end(),
        [&](const std::string& part) { return is_disturbed(all, part, at); });
}

/// @return what an instance needs to be in touch with the system.
std::vector<std::string> parts_of_contact(std::size_t instance) {
    return {
        "store", fmt::format("store-{}", instance),
        fmt::format("instance-{}", instance)};
}

int max_runs(request_kind kind) {
    const bool repeatable =
        kind == request_kind::safe || kind == request_kind::resumable;
    return repeatable ? 2 : 1;
}

bool is_stream(request_kind kind) {
    return kind == request_kind::stream || kind == request_kind::resumable;
}

} // namespace

bool is_disturbed(
    const std::vector<disturbance>& all, const std::string& part,
    base::steady_time at) {
    return std::any_of(all.begin(), all.end(), [&](const disturbance& one) {
        return one.part == part && one.from <= at &&
               at - contact_time <= one.until;
    });
}

std::string expected_body(const caller_record& record) {
    if (!is_stream(record.kind))
        return "answer to " + record.id;
    std::string body;
    for (int number = 1; number <= events_of_a_stream; ++number)
        body +=
            fmt::format("id: {}\ndata: {} {}\n\n", number, record.id, number);
    return body;
}

void note(
    server_notes& notes, const std::string& what, const std::string& request,
    base::steady_time at, const std::string& server) {
    const std::map<std::string, std::vector<server_event>*> events = {
        {"leaving", &notes.after_leaving},
        {"marked", &notes.marked},
        {"crash", &notes.crashes},
        {"said-leaving", &notes.said_leaving},
        {"said-rest", &notes.said_rest},
        {"said-limit", &notes.said_limit},
        {"arrival", &notes.arrivals}};
    const auto found = events.find(what);
    if (found != events.end()) {
        found->second->push_back({request, server, at});
        return;
    }
    if (what == "mixed") {
        notes.of_another.push_back(request);
        return;
    }
    ++notes.runs[request];
    base::steady_time& last = notes.last_run[request];
    last = std::max(last, at);
}

std::vector<std::string> broken_promises(
    const std::vector<caller_record>& records, const server_notes& notes) {
    std::vector<std::string> broken;
    for (const std::string& id : notes.of_another)
        broken.push_back(
            fmt::format("{} went on from the result of another request", id));
    for (const caller_record& record : records) {
        const auto found = notes.runs.find(record.id);
        const int count = found == notes.runs.end() ? 0 : found->second;
        if (count > max_runs(record.kind))
            broken.push_back(fmt::format("{} ran {} times", record.id, count));
        const std::string expected = expected_body(record);
        const bool success = record.status >= 200 && record.status < 300;
        if (success && record.whole && record.body != expected)
            broken.push_back(fmt::format("{} got another body", record.id));
        if (success && !expected.starts_with(record.body))
            broken.push_back(
                fmt::format("{} got bytes of something else", record.id));
        if (success && count == 0)
            broken.push_back(
                fmt::format("{} was answered without a run", record.id));
        if (record.status == status_unavailable) {
            if (count > 0 && max_runs(record.kind) == 1)
                broken.push_back(fmt::format(
                    "{} was refused as not run, but ran", record.id));
            if (!record.retry_after)
                broken.push_back(fmt::format(
                    "{} was refused without a time to come back", record.id));
        }
        if (record.status == 404)
            broken.push_back(fmt::format("{} found no route", record.id));
    }
    return broken;
}

std::vector<std::string> broken_in_touch(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances) {
    std::map<std::string, std::size_t> instances;
    for (const caller_record& record : records)
        instances[record.id] = record.instance;
    std::vector<std::string> broken;
    for (const server_event& late : notes.after_leaving) {
        const auto found = instances.find(late.request);
        if (found == instances.end())
            continue;
        std::vector<std::string> parts = parts_of_contact(found->second);
        parts.push_back(late.server);
        if (!is_any_disturbed(disturbances, parts, late.at))
            broken.push_back(fmt::format(
                "{} reached {}, which was leaving, from instance {} without "
                "a disturbance",
                late.request, late.server, found->second));
    }
    return broken;
}

std::vector<std::string> broken_by_crashes(
    const std::vector<caller_record>& records, const server_notes& notes,
    const std::vector<disturbance>& disturbances) {
    std::vector<std::string> broken;
    std::map<std::string, const caller_record*> marked;
    for (const caller_record& record : records) {
        if (!record.mark.empty())
            marked[record.id] = &record;
        else if (record.body.starts_with(taken_for_crashing))
            broken.push_back(
                fmt::format("{} was refused for another's crashes", record.id));
    }
    std::map<std::string, std::vector<base::steady_time>> crashes;
    for (const server_event& crash : notes.crashes)
        if (marked.contains(crash.request))
            crashes[marked.at(crash.request)->mark].push_back(crash.at);
    for (auto& [mark, times] : crashes) {
        std::sort(times.begin(), times.end());
        if (times.size() < allowed_crashes)
            continue;
        const base::steady_time bound =
            times[allowed_crashes - 1] + contact_time;
        std::set<std::string> late;
        for (const server_event& arrival : notes.marked) {
            const auto found = marked.find(arrival.request);
            if (found != marked.end() && found->second->mark == mark &&
                arrival.at > bound &&
                !is_any_disturbed(
                    disturbances, parts_of_contact(found->second->instance),
                    arrival.at))
                late.insert(arrival.request);
        }
        if (late.size() > allowed_tries)
            broken.push_back(fmt::format(
                "{} was sent to servers in {} tries after it had crashed "
                "three; {} crashed in all",
                mark, late.size(), times.size()));
    }
    return broken;
}

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

std::vector<std::string> broken_by_planned_work(
    const std::vector<caller_record>& records, const server_notes& notes) {
    std::vector<std::string> broken;
    for (const server_event& late : notes.after_leaving)
        broken.push_back(fmt::format(
            "{} reached {}, which was leaving", late.request, late.server));
    for (const caller_record& record : records) {
        const auto last = notes.last_run.find(record.id);
        const bool ran = last != notes.last_run.end();
        if (record.left_at) {
            if (ran && last->second > *record.left_at + leaving_slack)
                broken.push_back(
                    fmt::format("{} ran after its caller had left", record.id));
            continue;
        }
        const bool cut = record.status == 200 && !record.whole;
        if (cut || (record.unanswered && ran))
            broken.push_back(
                fmt::format("{} was cut off by planned work", record.id));
    }
    return broken;
}

std::vector<std::string>
broken_by_refusals(const std::vector<caller_record>& records) {
    constexpr int status_unavailable = 503;
    std::vector<std::string> broken;
    for (const caller_record& record : records)
        if (record.status == status_unavailable && !record.retry_after)
            broken.push_back(fmt::format(
                "{} was refused without a time to return", record.id));
    return broken;
}

} // namespace mintknot::soak
