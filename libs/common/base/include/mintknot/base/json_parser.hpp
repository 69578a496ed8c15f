/// @file
/// Parsing of JSON and MessagePack that another program has written.
#ifndef MINTKNOT_BASE_JSON_PARSER_HPP
#define MINTKNOT_BASE_JSON_PARSER_HPP

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace mintknot::base {

/// Maximum depth of nested arrays and objects. The JSON library copies and
/// prints values by recursion, so that deeper ones could exhaust the stack.
inline constexpr std::size_t max_json_depth = 64;

/// Parses JSON text. Does not throw, whatever the text holds.
/// @return InvalidArgument, with the reason and the byte, for text that is not
/// JSON, is nested deeper than max_json_depth, or holds a number beyond the
/// range of a double.
absl::StatusOr<nlohmann::json> parse_json(std::string_view text);

/// The same for MessagePack, where numbers that are not finite are errors too.
absl::StatusOr<nlohmann::json> parse_message_pack(std::string_view bytes);

/// @return what parse_json() returns, or a discarded value after an error.
nlohmann::json parse_json_or_discard(std::string_view text);

/// @return the value as one line of JSON. Text that is not UTF-8 gets
/// replacement characters.
std::string to_text(const nlohmann::json& value);

} // namespace mintknot::base

#endif
