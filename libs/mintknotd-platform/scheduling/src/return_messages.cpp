#include <mintknot/scheduling/return_messages.hpp>

#include "message_numbers.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace mintknot::scheduling {

namespace {

using nlohmann::json;

/// First element of a message.
constexpr int request_format = 22;
constexpr int answer_format = 23;

json to_json(const return_request& value) {
    const policy::capacity_claim& claim = value.refused.claim;
    return {
        request_format,
        value.number,
        value.refused.service,
        value.data_centre,
        {claim.priority, claim.organisation, claim.target_left.count(),
         claim.deadline_left.count(), claim.digest, claim.caller_retry},
        whole(value.refused.cost),
        value.refused.earliest.count()};
}

json to_json(const return_answer& value) {
    return {
        answer_format, value.number, value.promised, value.retry_after.count()};
}

return_request request_from(const json& row) {
    return_request value;
    value.number = unsigned_from(row.at(1));
    value.refused.service = row.at(2).get<std::string>();
    value.data_centre = row.at(3).get<std::string>();
    policy::capacity_claim& claim = value.refused.claim;
    const json& sent = row.at(4);
    claim.priority = std::clamp(int_from(sent.at(0)), 0, max_priority);
    claim.organisation = sent.at(1).get<std::string>();
    claim.target_left = time_from(sent.at(2));
    claim.deadline_left = time_from(sent.at(3));
    claim.digest = unsigned_from(sent.at(4));
    claim.caller_retry = sent.at(5).get<bool>();
    value.refused.cost = cost_from(row.at(5));
    value.refused.earliest = time_from(row.at(6));
    return value;
}

return_answer answer_from(const json& row) {
    return_answer value;
    value.number = unsigned_from(row.at(1));
    value.promised = row.at(2).get<bool>();
    value.retry_after = time_from(row.at(3));
    return value;
}

/// Checks the first element, a small number right after the array's own byte,
/// to avoid parsing other datagrams twice.
bool may_be_return(std::string_view datagram) {
    return datagram.size() >= 2 &&
           (datagram[1] == request_format || datagram[1] == answer_format);
}

} // namespace

std::string encode(const return_message& value) {
    const json row =
        std::visit([](const auto& known) { return to_json(known); }, value);
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<return_message> decode_return(std::string_view datagram) {
    if (!may_be_return(datagram))
        return absl::InvalidArgumentError("not a return message");
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!row.is_array() || row.empty() || !row[0].is_number_integer())
        return absl::InvalidArgumentError("not a return message");
    try {
        if (row[0] == request_format)
            return return_message(request_from(row));
        if (row[0] == answer_format)
            return return_message(answer_from(row));
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field is malformed");
    }
    return absl::InvalidArgumentError("not a return message");
}

} // namespace mintknot::scheduling
