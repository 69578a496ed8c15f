/// @file
/// Datagrams between instances: MessagePack arrays whose first element is the
/// type of the message, a small number.
#ifndef MINTKNOT_BASE_DATAGRAM_HPP
#define MINTKNOT_BASE_DATAGRAM_HPP

#include <mintknot/base/json_values.hpp>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace mintknot::base {

/// Types of messages, first and last included.
struct message_types {
    int first = 0;
    int last = 0;
};

/// @return the row in MessagePack.
std::string encode_datagram(const nlohmann::json& row);

/// @return the array of a datagram whose type is one of these; InvalidArgument
/// otherwise. Datagrams of other types are not parsed.
absl::StatusOr<nlohmann::json>
parse_datagram(std::string_view datagram, message_types types);

/// @return the message of a datagram; InvalidArgument if its type is not one of
/// these, or if a field is malformed.
/// @param read throws nlohmann::json::exception for malformed fields.
template<typename Message>
absl::StatusOr<Message> decode_datagram(
    std::string_view datagram, message_types types,
    Message (*read)(const nlohmann::json& row)) {
    const auto row = parse_datagram(datagram, types);
    if (!row.ok())
        return row.status();
    try {
        return read(*row);
    } catch (const nlohmann::json::exception&) {
        return absl::InvalidArgumentError("a field is malformed");
    }
}

} // namespace mintknot::base

#endif
