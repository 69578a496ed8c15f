/// @file
/// The events of the stand-ins' streams, as callers get them.
#ifndef MINTKNOT_SOAK_STREAM_EVENTS_HPP
#define MINTKNOT_SOAK_STREAM_EVENTS_HPP

#include <string>
#include <string_view>
#include <vector>

namespace mintknot::soak {

/// One event of a stream.
struct stream_event {
    int number = 0;
    std::string version; ///< Of the engine that made it; may be empty.
};

/// @return the events of a body that are whole.
std::vector<stream_event> whole_events(std::string_view body);

/// @return the body without the lines that name the engine's version.
std::string without_versions(std::string_view body);

} // namespace mintknot::soak

#endif
