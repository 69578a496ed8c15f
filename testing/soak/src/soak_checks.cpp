#include "soak_checks.hpp"

#include "soak_parts.hpp"
#include "stream_events.hpp"

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
constexpr std::size_t allowed_tries = 3;
/// With what the refusal of such a request begins.
constexpr std::string_view taken_for_crashing = "crashes_servers";

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

bool is_disturbed_between(
    const std::vector<disturbance>& all, const std::string& part,
    base::steady_time from, base::steady_time until) {
    return std::any_of(all.begin(), all.end(), [&](const disturbance& one) {
        return one.part == part && one.from <= until && one.until >= from;
    });
}

bool is_in_touch(
    const std::vector<disturbance>& all, std::size_t instance,
    base::steady_time at) {
    return !is_any_disturbed(all, parts_of_contact(instance), at);
}

std::string expected_body(const caller_record& record) {
    if (!is_stream(record.kind))
        return "answer to " + record.id;
    std::string body;
    for (int number = record.last_event + 1; number <= events_of_a_stream;
         ++number)
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
        const std::string body = without_versions(record.body);
        const bool success = record.status >= 200 && record.status < 300;
        if (success && record.whole && body != expected)
            broken.push_back(fmt::format("{} got another body", record.id));
        if (success && !expected.starts_with(body))
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
        else if (
            record.crashing_part.empty() &&
            record.body.starts_with(taken_for_crashing))
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
                is_in_touch(disturbances, found->second->instance, arrival.at))
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
