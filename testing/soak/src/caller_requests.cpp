#include "caller_requests.hpp"

#include "soak_parts.hpp"
#include "stream_events.hpp"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

namespace mintknot::soak {

namespace {

/// @return the parts of a prompt: one that all requests of the kind share, a
/// document, in some requests one that crashes engines, and one of its own.
std::string prompt_parts(
    const caller_record& record, std::size_t document, std::uint64_t own) {
    const std::string crashing = record.crashing_part.empty()
                                     ? std::string()
                                     : record.crashing_part + ":50,";
    return fmt::format(
        "{}:100,d0c{:05x}:100,{}{:08x}:250", record.first_part, document,
        crashing, own);
}

} // namespace

std::string_view path_of(request_kind kind) {
    switch (kind) {
    case request_kind::safe:
        return "/safe/x";
    case request_kind::unsafe:
        return "/unsafe/x";
    case request_kind::stream:
        return "/stream/x";
    case request_kind::resumable:
        return "/resumable/x";
    }
    return "/";
}

bool is_generation(request_kind kind) {
    return kind == request_kind::stream || kind == request_kind::resumable;
}

base::milliseconds retry_after_of(const http1::response_head& head) {
    const std::string* text = http1::find_field(head.fields, "Retry-After");
    double seconds = 0.0;
    if (text == nullptr || !absl::SimpleAtod(*text, &seconds))
        return base::milliseconds{0};
    return std::chrono::ceil<base::milliseconds>(
        std::chrono::duration<double>(seconds));
}

int last_event_of(const caller_record& record) {
    const std::vector<stream_event> events = whole_events(record.body);
    return events.empty() ? record.last_event : events.back().number;
}

bool is_broken_stream(const caller_record& record) {
    return record.kind == request_kind::resumable && !record.left_at &&
           (record.status != 200 || !record.whole) && last_event_of(record) > 0;
}

http1::field_list fields_of(
    const caller_record& record, std::size_t document, std::uint64_t own) {
    http1::field_list fields = {
        {"Host", "soak.example"},
        {"X-Mintknot-Request-Id", record.id},
        {"X-Mintknot-Deadline-Ms", std::to_string(caller_deadline.count())},
        {"X-Mintknot-Token-Count", "500,50"}};
    if (is_generation(record.kind))
        fields.push_back(
            {"X-Mintknot-Prompt-Prefix", prompt_parts(record, document, own)});
    if (!record.resumes.empty()) {
        fields.push_back({"Resumes", record.resumes});
        fields.push_back({"Last-Event-Id", std::to_string(record.last_event)});
    }
    return fields;
}

} // namespace mintknot::soak
