/// @file
/// Whole events out of a stream that arrives in arbitrary pieces.
#ifndef MINTKNOT_TRAFFIC_EVENT_SPLITTER_HPP
#define MINTKNOT_TRAFFIC_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mintknot::traffic {

/// Collects pieces of a text/event-stream. Events end with an empty line.
struct event_splitter {
    std::string rest; ///< The event that is not whole yet.
    /// How much of it was searched for its end.
    std::size_t searched = 0;
};

/// Adds a piece. @return all events that are whole now, byte for byte.
std::string push(event_splitter& splitter, std::string_view piece);

/// @return the ID of the last event in a text of whole events, if it has one
/// that is a number.
std::optional<std::uint64_t> last_event_id(std::string_view events);

/// @return true if a stream whose last bytes these are has ended inside an
/// event, and so was broken off. Four bytes are enough.
bool ends_inside_event(std::string_view last_bytes);

} // namespace mintknot::traffic

#endif
