#include "part_messages.hpp"

#include <mintknot/base/datagram.hpp>

#include <algorithm>

namespace mintknot::crashes {

namespace {

using nlohmann::json;

/// Message type, the first element of each message. Smaller numbers belong to
/// other messages.
constexpr int block_format = 25;
constexpr int query_format = 26;
constexpr int reply_format = 27;
constexpr int clear_format = 28;

json to_json(const policy::prompt_parts& parts) {
    json rows = json::array();
    for (const std::string& part : parts)
        rows.push_back(part);
    return rows;
}

policy::prompt_parts parts_from(const json& rows) {
    policy::prompt_parts parts;
    for (const json& row : base::bounded_rows(rows, max_parts))
        parts.insert(row.get<std::string>());
    return parts;
}

json to_json(const part_block_announcement& value) {
    json rows = json::array();
    for (const policy::part_block_entry& block : value.blocks)
        rows.push_back(
            {to_json(block.parts), block.left.count(), block.times,
             block.crashes});
    return {block_format, rows};
}

json to_json(const soundness_query& value) {
    return {query_format, value.reply_to, to_json(value.parts)};
}

json to_json(const soundness_reply& value) {
    json rows = json::array();
    for (const sound_part& sound : value.parts)
        rows.push_back({sound.part, sound.ago.count()});
    return {reply_format, rows};
}

json to_json(const part_clear_announcement& value) {
    return {clear_format, to_json(value.parts)};
}

part_block_announcement blocks_from(const json& row) {
    part_block_announcement value;
    for (const json& block : base::bounded_rows(row.at(1), max_part_blocks))
        value.blocks.push_back(
            {parts_from(block.at(0)), base::non_negative_time(block.at(1)),
             std::max(1, base::number_from<int>(block.at(2))),
             base::number_from<std::size_t>(block.at(3))});
    return value;
}

soundness_reply reply_from(const json& row) {
    soundness_reply value;
    for (const json& sound : base::bounded_rows(row.at(1), max_parts))
        value.parts.push_back(
            {sound.at(0).get<std::string>(),
             base::non_negative_time(sound.at(1))});
    return value;
}

part_message message_from(const json& row) {
    switch (base::number_from<int>(row.at(0))) {
    case block_format:
        return blocks_from(row);
    case query_format:
        return soundness_query{
            row.at(1).get<std::string>(), parts_from(row.at(2))};
    case reply_format:
        return reply_from(row);
    default:
        return part_clear_announcement{parts_from(row.at(1))};
    }
}

} // namespace

std::string encode(const part_message& value) {
    return base::encode_datagram(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<part_message> decode_part_message(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {block_format, clear_format}, message_from);
}

} // namespace mintknot::crashes
