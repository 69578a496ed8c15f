#include "finished_line.hpp"

#include <cstdlib>

namespace mintknot::losses {

namespace {

using log_line::flag;
using log_line::json;
using log_line::text;
using log_line::whole;

/// @return the first 64 bits of a digest in hexadecimal digits, 0 without one.
std::uint64_t digest_of(const json& line) {
    constexpr std::size_t digits = 16;
    const std::string digest = text(line, "digest").substr(0, digits);
    return std::strtoull(digest.c_str(), nullptr, 16);
}

std::string organisation_of(const json& line) {
    if (!line.contains("organisation"))
        return std::string(unknown_name);
    const std::string name = text(line, "organisation");
    return name.empty() ? "(none)" : name;
}

std::string priority_of(const json& line) {
    return line.contains("priority") ? std::to_string(whole(line, "priority"))
                                     : std::string(unknown_name);
}

try_result result_of(const json& line) {
    const std::string outcome = text(line, "outcome");
    if (outcome == "answered")
        return try_result::answered;
    // A caller that left has not been told that its request has not run.
    if (outcome == "caller_left")
        return try_result::failed;
    // Older builds do not write the verdict: what was sent may have run.
    const bool not_run = line.contains("verdict")
                             ? text(line, "verdict") == "not_run"
                             : whole(line, "sends") == 0;
    return not_run ? try_result::refused : try_result::failed;
}

} // namespace

caller_try caller_try_of(const json& line, const open_request& request) {
    const auto time = [&line](const char* field) {
        return base::milliseconds(whole(line, field));
    };
    caller_try ended;
    ended.digest = digest_of(line);
    ended.route = request.route;
    ended.priority = priority_of(line);
    ended.organisation = organisation_of(line);
    ended.instance = text(line, "instance");
    ended.total = time("total_ms");
    ended.started_at = whole(line, "at") - ended.total.count();
    ended.deadline = time("deadline_ms");
    ended.first_byte = time("first_byte_ms");
    ended.target = time("target_ms");
    ended.longest_gap = time("longest_gap_ms");
    ended.target_gap = time("target_gap_ms");
    ended.result = result_of(line);
    ended.returned = flag(line, "returned");
    return ended;
}

} // namespace mintknot::losses
