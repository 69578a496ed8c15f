#include "origin_messages.hpp"

#include <mintknot/base/datagram.hpp>

namespace mintknot::origins {

namespace {

using nlohmann::json;

/// Message type, the first element of each message. Smaller numbers belong to
/// other libraries.
constexpr int notice_format = 22;
constexpr int query_format = 23;
constexpr int reply_format = 24;
std::string text_from(const json& value) {
    std::string text = value.get<std::string>();
    if (text.size() > max_text_bytes)
        base::throw_malformed("text is too long", value);
    return text;
}

std::optional<std::string> optional_text_from(const json& value) {
    if (value.is_null())
        return std::nullopt;
    return text_from(value);
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
    return {
        text_from(row.at(1)), text_from(row.at(2)),
        base::non_negative_time(row.at(3))};
}

origin_query query_from(const json& row) {
    return {
        base::number_from<std::uint64_t>(row.at(1)), text_from(row.at(2)),
        row.at(3).get<std::string>()};
}

origin_reply reply_from(const json& row) {
    return {
        base::number_from<std::uint64_t>(row.at(1)),
        optional_text_from(row.at(2)), base::non_negative_time(row.at(3)),
        optional_text_from(row.at(4))};
}

origin_message message_from(const json& row) {
    switch (base::number_from<int>(row.at(0))) {
    case notice_format:
        return notice_from(row);
    case query_format:
        return query_from(row);
    default:
        return reply_from(row);
    }
}

} // namespace

std::string encode(const origin_message& value) {
    return base::encode_datagram(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<origin_message>
decode_origin_message(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {notice_format, reply_format}, message_from);
}

} // namespace mintknot::origins
