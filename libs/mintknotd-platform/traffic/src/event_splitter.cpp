#include <mintknot/traffic/event_splitter.hpp>

#include <algorithm>
#include <charconv>

namespace mintknot::traffic {

namespace {

constexpr std::size_t max_end_bytes = 4;

/// @return the position behind the last event that is whole, or 0.
std::size_t end_of_events(std::string_view text) {
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t with_returns = text.rfind("\r\n\r\n");
    std::size_t end = 0;
    if (plain != std::string_view::npos)
        end = plain + 2;
    if (with_returns != std::string_view::npos)
        end = std::max(end, with_returns + 4);
    return end;
}

std::optional<std::uint64_t> parse_id_line(std::string_view line) {
    constexpr std::string_view name = "id:";
    if (!line.starts_with(name))
        return std::nullopt;
    line.remove_prefix(name.size());
    while (line.starts_with(' '))
        line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto [end, code] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (code != std::errc{})
        return std::nullopt;
    return id;
}

} // namespace

std::string push(event_splitter& splitter, std::string_view piece) {
    splitter.rest.append(piece);
    // The end may have begun in what was searched before.
    const std::size_t from =
        splitter.searched - std::min(splitter.searched, max_end_bytes - 1);
    const std::size_t end =
        end_of_events(std::string_view(splitter.rest).substr(from));
    splitter.searched = splitter.rest.size();
    if (end == 0)
        return {};
    std::string whole = splitter.rest.substr(0, from + end);
    splitter.rest.erase(0, from + end);
    splitter.searched = splitter.rest.size();
    return whole;
}

std::optional<std::uint64_t> last_event_id(std::string_view events) {
    std::optional<std::uint64_t> found;
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
        if (const auto id = parse_id_line(events.substr(0, end)))
            found = id;
        if (end == std::string_view::npos)
            break;
        events.remove_prefix(end + 1);
    }
    return found;
}

bool ends_inside_event(std::string_view last_bytes) {
    return !last_bytes.empty() && !last_bytes.ends_with("\n\n") &&
           !last_bytes.ends_with("\r\n\r\n");
}

} // namespace mintknot::traffic
