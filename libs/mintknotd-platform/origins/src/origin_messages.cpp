#include "origin_messages.hpp"

#include <nlohmann/json.hpp>

namespace mintknot::origins {

namespace {

using nlohmann::json;

/// Message type, the first element of each message. Smaller numbers belong to
/// other libraries.
constexpr int notice_format = 22;
constexpr int query_format = 23;
constexpr int reply_format = 24;
/// The ID that the JSON library gives its own errors of this kind.
constexpr int error_number = 501;

[[noreturn]] void malformed(const char* what, const json& value) {
    throw json::other_error::create(error_number, what, &value);
}

std::string text_from(const json& value) {
    std::string text = value.get<std::string>();
    if (text.size() > max_text_bytes)
        malformed("text is too long", value);
    return text;
}

std::optional<std::string> optional_text_from(const json& value) {
    if (value.is_null())
        return std::nullopt;
    return text_from(value);
}

base::milliseconds time_from(const json& value) {
    const auto count = value.get<std::int64_t>();
    if (count < 0)
        malformed("negative time", value);
    return base::milliseconds(count);
}

json to_json(const std::optional<std::string>& text) {
    return text ? json(*text) : json(nullptr);
}

json to_json(const origin_notice& value) {
    return {notice_format, value.stream, value.version, value.life.count()};
}

json to_json(const origin_query& value) {
    return {query_format, value.number, value.stream, value.service};
}

json to_json(const origin_reply& value) {
    return {
        reply_format, value.number, to_json(value.version), value.age.count(),
        to_json(value.only_version)};
}

origin_notice notice_from(const json& row) {
    return {text_from(row.at(1)), text_from(row.at(2)), time_from(row.at(3))};
}

origin_query query_from(const json& row) {
    return {
        row.at(1).get<std::uint64_t>(), text_from(row.at(2)),
        row.at(3).get<std::string>()};
}

origin_reply reply_from(const json& row) {
    return {
        row.at(1).get<std::uint64_t>(), optional_text_from(row.at(2)),
        time_from(row.at(3)), optional_text_from(row.at(4))};
}

origin_message message_from(const json& row) {
    switch (row.at(0).get<int>()) {
    case notice_format:
        return notice_from(row);
    case query_format:
        return query_from(row);
    default:
        return reply_from(row);
    }
}

/// Checks the message type, a small number right after the array's header byte,
/// without parsing: most datagrams are of other types.
bool may_be_about_origins(std::string_view datagram) {
    if (datagram.size() < 2)
        return false;
    const auto type = static_cast<unsigned char>(datagram[1]);
    return type >= notice_format && type <= reply_format;
}

} // namespace

std::string encode(const origin_message& value) {
    const json row =
        std::visit([](const auto& known) { return to_json(known); }, value);
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<origin_message>
decode_origin_message(std::string_view datagram) {
    if (!may_be_about_origins(datagram))
        return absl::InvalidArgumentError("not about origins");
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!row.is_array() || row.empty() || !row[0].is_number_integer())
        return absl::InvalidArgumentError("not about origins");
    try {
        return message_from(row);
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field is malformed");
    }
}

} // namespace mintknot::origins
