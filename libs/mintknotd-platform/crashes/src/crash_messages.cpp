#include "crash_messages.hpp"

#include <mintknot/base/datagram.hpp>

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
/// Of the element of a run that tells whether its server was up, and of that
/// with the parts of its prompt.
constexpr std::size_t liveness_position = 4;
constexpr std::size_t parts_position = 5;

policy::request_key key_from(const json& row) {
    return {
        row.at(0).get<std::string>(),
        base::number_from<std::uint64_t>(row.at(1))};
}

/// The liveness is appended only if it is not the usual one, which instances of
/// an earlier version, who do not know it, take all runs to have, or if parts
/// follow, which these pass over.
json to_json(const broken_run& run) {
    json row = {
        run.key.digest, run.key.body_bytes, run.ran_for.count(),
        run.ago.count()};
    if (run.liveness != server_liveness::assumed || !run.parts.empty())
        row.push_back(static_cast<int>(run.liveness));
    if (!run.parts.empty())
        row.push_back(
            std::vector<std::string>(run.parts.begin(), run.parts.end()));
    return row;
}

server_liveness liveness_from(const json& run) {
    if (run.size() <= liveness_position)
        return server_liveness::assumed;
    switch (base::number_from<int>(run.at(liveness_position))) {
    case static_cast<int>(server_liveness::doubtful):
        return server_liveness::doubtful;
    case static_cast<int>(server_liveness::heard):
        return server_liveness::heard;
    default:
        return server_liveness::assumed;
    }
}

policy::prompt_parts parts_from(const json& run) {
    policy::prompt_parts parts;
    if (run.size() > parts_position)
        for (const json& part :
             base::bounded_rows(run.at(parts_position), max_entries))
            parts.insert(part.get<std::string>());
    return parts;
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
    for (const json& run : base::bounded_rows(row.at(2), max_entries))
        value.runs.push_back(
            {key_from(run), base::non_negative_time(run.at(2)),
             base::non_negative_time(run.at(3)), liveness_from(run),
             parts_from(run)});
    return value;
}

block_announcement blocks_from(const json& row) {
    block_announcement value;
    for (const json& block : base::bounded_rows(row.at(1), max_entries))
        value.blocks.push_back(
            {key_from(block), base::non_negative_time(block.at(2)),
             std::max(1, base::number_from<int>(block.at(3)))});
    return value;
}

crash_message message_from(const json& row) {
    switch (base::number_from<int>(row.at(0))) {
    case report_format:
        return report_from(row);
    case block_format:
        return blocks_from(row);
    default:
        return clear_announcement{row.at(1).get<std::string>()};
    }
}

} // namespace

std::string encode(const crash_message& value) {
    return base::encode_datagram(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<crash_message> decode_crash_message(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {report_format, clear_format}, message_from);
}

} // namespace mintknot::crashes
