#include "stream_events.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace mintknot::soak {

namespace {

constexpr std::string_view end_of_event = "\n\n";
constexpr absl::string_view number_name = "id: ";
constexpr absl::string_view version_name = "event: ";

stream_event event_of(std::string_view text) {
    stream_event found;
    for (absl::string_view line :
         absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
        if (absl::ConsumePrefix(&line, version_name))
            found.version = std::string(line);
        else if (absl::ConsumePrefix(&line, number_name))
            (void)absl::SimpleAtoi(line, &found.number);
    }
    return found;
}

} // namespace

std::vector<stream_event> whole_events(std::string_view body) {
    std::vector<stream_event> events;
    for (std::size_t end = body.find(end_of_event);
         end != std::string_view::npos; end = body.find(end_of_event)) {
        events.push_back(event_of(body.substr(0, end)));
        body.remove_prefix(end + end_of_event.size());
    }
    return events;
}

std::string without_versions(std::string_view body) {
    const std::string_view name(version_name.data(), version_name.size());
    std::string result;
    while (!body.empty()) {
        const std::size_t end = body.find('\n');
        const std::string_view line =
            body.substr(0, end == std::string_view::npos ? end : end + 1);
        if (!line.starts_with(name))
            result += line;
        body.remove_prefix(line.size());
    }
    return result;
}

} // namespace mintknot::soak
