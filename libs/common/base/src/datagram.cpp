#include <mintknot/base/datagram.hpp>

#include <cstdint>
#include <vector>

namespace mintknot::base {

namespace {

using nlohmann::json;

/// The ID that the JSON library gives its own errors of this kind.
constexpr int error_number = 501;

/// First byte of an array of 16 elements or more, whose length takes two more.
constexpr unsigned char long_array = 0xdc;
constexpr std::size_t short_header = 1;
constexpr std::size_t long_header = 3;
constexpr int no_type = -1;

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
    json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!row.is_array() || row.empty() || !row[0].is_number_integer() ||
        !is_in(row[0].get<int>(), types))
        return absl::InvalidArgumentError("another type of message");
    return row;
}

void throw_malformed(const char* what, const json& value) {
    throw json::other_error::create(error_number, what, &value);
}

const json& bounded_rows(const json& rows, std::size_t max) {
    if (!rows.is_array() || rows.size() > max)
        throw_malformed("too many entries", rows);
    return rows;
}

milliseconds non_negative_time(const json& value) {
    const auto count = value.get<std::int64_t>();
    if (count < 0)
        throw_malformed("negative time", value);
    return milliseconds(count);
}

} // namespace mintknot::base
