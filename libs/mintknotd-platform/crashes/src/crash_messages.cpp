#include "crash_messages.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mintknot::crashes {

namespace {

using nlohmann::json;
using policy::server_liveness;

/// Message type, the first element of each message. Smaller numbers belong to
/// other libraries.
constexpr int report_format = 16;
constexpr int block_format = 17;
constexpr int clear_format = 18;
/// Of the element of a run that tells whether its server was up.
constexpr std::size_t liveness_position = 4;
/// The ID that the JSON library gives its own errors of this kind.
constexpr int error_number = 501;

[[noreturn]] void malformed(const char* what, const json& value) {
    throw json::other_error::create(error_number, what, &value);
}

const json& bounded(const json& rows) {
    if (!rows.is_array() || rows.size() > max_entries)
        malformed("too many entries", rows);
    return rows;
}

base::milliseconds time_from(const json& value) {
    const auto count = value.get<std::int64_t>();
    if (count < 0)
        malformed("negative time", value);
    return base::milliseconds(count);
}

policy::request_key key_from(const json& row) {
    return {row.at(0).get<std::string>(), row.at(1).get<std::uint64_t>()};
}

/// The liveness is appended only if it is not the usual one, which instances of
/// an earlier version, who do not know it, take all runs to have.
json to_json(const broken_run& run) {
    json row = {
        run.key.digest, run.key.body_bytes, run.ran_for.count(),
        run.ago.count()};
    if (run.liveness != server_liveness::assumed)
        row.push_back(static_cast<int>(run.liveness));
    return row;
}

server_liveness liveness_from(const json& run) {
    if (run.size() <= liveness_position)
        return server_liveness::assumed;
    switch (run.at(liveness_position).get<int>()) {
    case static_cast<int>(server_liveness::doubtful):
        return server_liveness::doubtful;
    case static_cast<int>(server_liveness::heard):
        return server_liveness::heard;
    default:
        return server_liveness::assumed;
    }
}

json to_json(const crash_report& value) {
    json runs = json::array();
    for (const broken_run& run : value.runs)
        runs.push_back(to_json(run));
    return {report_format, value.server_incarnation, runs};
}

json to_json(const block_announcement& value) {
    json blocks = json::array();
    for (const policy::block_entry& block : value.blocks)
        blocks.push_back(
            {block.key.digest, block.key.body_bytes, block.left.count(),
             block.times});
    return {block_format, blocks};
}

json to_json(const clear_announcement& value) {
    return {clear_format, value.digest};
}

crash_report report_from(const json& row) {
    crash_report value;
    value.server_incarnation = row.at(1).get<std::string>();
    for (const json& run : bounded(row.at(2)))
        value.runs.push_back(
            {key_from(run), time_from(run.at(2)), time_from(run.at(3)),
             liveness_from(run)});
    return value;
}

block_announcement blocks_from(const json& row) {
    block_announcement value;
    for (const json& block : bounded(row.at(1)))
        value.blocks.push_back(
            {key_from(block), time_from(block.at(2)),
             std::max(1, block.at(3).get<int>())});
    return value;
}

crash_message message_from(const json& row) {
    switch (row.at(0).get<int>()) {
    case report_format:
        return report_from(row);
    case block_format:
        return blocks_from(row);
    default:
        return clear_announcement{row.at(1).get<std::string>()};
    }
}

/// Checks the message type, a small number right after the array's header byte,
/// without parsing: most datagrams are placements, which would otherwise be
/// parsed twice.
bool may_be_about_crashes(std::string_view datagram) {
    return datagram.size() >= 2 && datagram[1] >= report_format &&
           datagram[1] <= clear_format;
}

} // namespace

std::string encode(const crash_message& value) {
    const json row =
        std::visit([](const auto& known) { return to_json(known); }, value);
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<crash_message> decode_crash_message(std::string_view datagram) {
    if (!may_be_about_crashes(datagram))
        return absl::InvalidArgumentError("not a crash message");
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!row.is_array() || row.empty() || !row[0].is_number_integer())
        return absl::InvalidArgumentError("not a crash message");
    try {
        return message_from(row);
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field is malformed");
    }
}

} // namespace mintknot::crashes
