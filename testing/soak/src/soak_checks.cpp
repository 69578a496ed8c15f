#include "soak_checks.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace mintknot::soak {

namespace {

constexpr int events_of_a_stream = 20;
constexpr int status_unavailable = 503;
/// How long after its caller has left a request may still reach a server.
constexpr base::milliseconds leaving_slack{1000};
/// How long what was done to a part of the system excuses it.
constexpr base::milliseconds contact_time{3000};

bool is_disturbed(
    const std::vector<disturbance>& all, const std::string& part,
    base::steady_time at) {
    return std::any_of(all.begin(), all.end(), [&](const disturbance& one) {
        return one.part == part && one.from <= at &&
               at - contact_time <= one.until;
    });
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
    if (what == "leaving") {
        notes.after_leaving.push_back({request, server, at});
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
    for (const late_arrival& late : notes.after_leaving) {
        const auto found = instances.find(late.request);
        if (found == instances.end())
            continue;
        const std::size_t instance = found->second;
        const std::string parts[] = {
            "store", fmt::format("store-{}", instance),
            fmt::format("instance-{}", instance), late.server};
        const bool excused = std::any_of(
            std::begin(parts), std::end(parts), [&](const std::string& part) {
                return is_disturbed(disturbances, part, late.at);
            });
        if (!excused)
            broken.push_back(fmt::format(
                "{} reached {}, which was leaving, from instance {} without "
                "a disturbance",
                late.request, late.server, instance));
    }
    return broken;
}

std::vector<std::string> broken_by_planned_work(
    const std::vector<caller_record>& records, const server_notes& notes) {
    std::vector<std::string> broken;
    for (const late_arrival& late : notes.after_leaving)
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

} // namespace mintknot::soak
