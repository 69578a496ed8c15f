/// @file
/// Decode events as lines of JSON.
#ifndef MINTKNOT_ENGINE_EVENT_LINES_HPP
#define MINTKNOT_ENGINE_EVENT_LINES_HPP

#include <mintknot/engine/orders.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mintknot::engine {

/// @return one line with its line feed.
std::string to_line(const decode_event& event);

/// @return nothing if the line is not an event.
std::optional<decode_event> parse_line(std::string_view line);

/// Cuts a byte stream into lines; pieces may end anywhere.
class line_splitter {
public:
    void add(std::string_view piece) { buffer_.append(piece); }
    /// @return the next whole line, without its line feed.
    std::optional<std::string> next();

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace mintknot::engine

#endif
