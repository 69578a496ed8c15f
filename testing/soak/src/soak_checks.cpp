#include "soak_checks.hpp"

#include <fmt/format.h>

namespace mintknot::soak {

namespace {

constexpr int events_of_a_stream = 20;
constexpr int status_unavailable = 503;

int most_runs(request_kind kind) {
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

std::vector<std::string> broken_promises(
    const std::vector<caller_record>& records, const run_counts& runs) {
    std::vector<std::string> broken;
    for (const caller_record& record : records) {
        const auto found = runs.find(record.id);
        const int count = found == runs.end() ? 0 : found->second;
        if (count > most_runs(record.kind))
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
            if (count > 0 && most_runs(record.kind) == 1)
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

} // namespace mintknot::soak
