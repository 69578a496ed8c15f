#include "loan_messages.hpp"

#include <nlohmann/json.hpp>

namespace mintknot::runtime {

namespace {

using nlohmann::json;

/// First element of a message. Heartbeats have 1, placements 2 to 4.
constexpr int request_format = 5;
constexpr int offer_format = 6;

json to_json(const loan_request& value) {
    return {request_format, value.number, value.service, value.repeats};
}

json to_json(const loan_offer& value) {
    return {offer_format, value.number, value.repeats};
}

loan_message message_from(const json& row) {
    const auto number = row.at(1).get<std::uint64_t>();
    if (row.at(0).get<int>() == request_format)
        return loan_request{
            number, row.at(2).get<std::string>(), row.at(3).get<int>()};
    return loan_offer{number, row.at(2).get<int>()};
}

/// Checks the first element, a small number right after the array's own byte.
/// Most datagrams are placements, which should not be parsed twice.
bool may_be_loan(std::string_view datagram) {
    return datagram.size() >= 2 &&
           (datagram[1] == request_format || datagram[1] == offer_format);
}

bool is_loan(const json& row) {
    return row.is_array() && !row.empty() &&
           (row[0] == request_format || row[0] == offer_format);
}

} // namespace

std::string encode(const loan_message& value) {
    const json row =
        std::visit([](const auto& known) { return to_json(known); }, value);
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<loan_message> decode_loan(std::string_view datagram) {
    if (!may_be_loan(datagram))
        return absl::InvalidArgumentError("not a loan message");
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!is_loan(row))
        return absl::InvalidArgumentError("not a loan message");
    try {
        return message_from(row);
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field is malformed");
    }
}

} // namespace mintknot::runtime
