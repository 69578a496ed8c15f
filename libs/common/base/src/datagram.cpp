#include <mintknot/base/datagram.hpp>

#include <mintknot/base/json_parser.hpp>

#include <cstdint>
#include <vector>

namespace mintknot::base {

namespace {

using nlohmann::json;

/// First byte of an array of 16 elements or more, whose length takes two more.
constexpr unsigned char long_array = 0xdc;
constexpr std::size_t short_header = 1;
constexpr std::size_t long_header = 3;
constexpr int no_type = -1;
constexpr std::uint64_t max_type = 127;

/// @return the type of a message, without parsing it.
int type_of(std::string_view datagram) {
    if (datagram.empty())
        return no_type;
    const bool is_long = static_cast<unsigned char>(datagram[0]) == long_array;
    const std::size_t position = is_long ? long_header : short_header;
    return datagram.size() > position
               ? static_cast<unsigned char>(datagram[position])
               : no_type;
}

/// @return the type that the first element of a message names.
int field_type(const json& element) {
    const bool is_small = element.is_number_unsigned() &&
                          element.get<std::uint64_t>() <= max_type;
    return is_small ? element.get<int>() : no_type;
}

bool is_in(int type, message_types types) {
    return type >= types.first && type <= types.last;
}

} // namespace

std::string encode_datagram(const json& row) {
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<json>
parse_datagram(std::string_view datagram, message_types types) {
    if (!is_in(type_of(datagram), types))
        return absl::InvalidArgumentError("another type of message");
    auto row = parse_message_pack(datagram);
    if (!row.ok())
        return row;
    if (!row->is_array() || row->empty() ||
        !is_in(field_type(row->front()), types))
        return absl::InvalidArgumentError("another type of message");
    return row;
}

} // namespace mintknot::base
