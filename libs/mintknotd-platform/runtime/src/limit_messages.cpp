#include "limit_messages.hpp"

#include <mintknot/policy/server_limit.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::runtime {

namespace {

using nlohmann::json;

/// First element of a message.
constexpr int report_format = 19;
constexpr int request_format = 20;
constexpr int offer_format = 21;

json to_json(const limit_report& value) {
    const json rate = value.rate ? json(*value.rate) : json(nullptr);
    return {report_format, value.server, rate, value.age.count()};
}

json to_json(const token_request& value) {
    return {request_format, value.server};
}

json to_json(const token_offer& value) {
    return {offer_format, value.server};
}

limit_report report_from(const json& row) {
    limit_report value;
    value.server = row.at(1).get<std::string>();
    if (!row.at(2).is_null())
        value.rate = row.at(2).get<double>();
    if (value.rate && !(std::isfinite(*value.rate) && *value.rate >= 0.0))
        throw json::other_error::create(501, "invalid rate", &row);
    const auto age = row.at(3).get<std::int64_t>();
    value.age = base::milliseconds(std::clamp<std::int64_t>(
        age, 0, base::milliseconds(policy::limit_lifetime).count()));
    return value;
}

limit_message message_from(const json& row) {
    switch (row.at(0).get<int>()) {
    case report_format:
        return report_from(row);
    case request_format:
        return token_request{row.at(1).get<std::string>()};
    default:
        return token_offer{row.at(1).get<std::string>()};
    }
}

/// Checks the first element, a small number right after the array's own byte,
/// to avoid parsing other datagrams twice.
bool may_be_limit(std::string_view datagram) {
    return datagram.size() >= 2 && datagram[1] >= report_format &&
           datagram[1] <= offer_format;
}

bool is_limit(const json& row) {
    return row.is_array() && !row.empty() && row[0].is_number_integer() &&
           row[0] >= report_format && row[0] <= offer_format;
}

} // namespace

std::string encode(const limit_message& value) {
    const json row =
        std::visit([](const auto& known) { return to_json(known); }, value);
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<limit_message> decode_limit(std::string_view datagram) {
    if (!may_be_limit(datagram))
        return absl::InvalidArgumentError("not a limit message");
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!is_limit(row))
        return absl::InvalidArgumentError("not a limit message");
    try {
        return message_from(row);
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field is malformed");
    }
}

} // namespace mintknot::runtime
