#include "usage_messages.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <vector>

namespace mintknot::limits {

namespace {

using nlohmann::json;

/// Message type, the first element of each message. Heartbeats use 1,
/// placements 2 to 4, loans 5 and 6, demand reports 7.
constexpr int request_format = 8;
constexpr int answer_format = 9;
constexpr int refund_format = 10;
constexpr int charge_format = 11;

json to_json(const usage_request& value) {
    return {
        request_format, value.number, value.organisation,
        std::llround(value.cost), static_cast<int>(value.account)};
}

json to_json(const usage_answer& value) {
    return {
        answer_format, value.number, static_cast<int>(value.verdict),
        value.retry_after.count()};
}

json to_json(const usage_refund& value) {
    return {
        refund_format, value.number, value.organisation,
        std::llround(value.cost), static_cast<int>(value.account)};
}

json to_json(const usage_charge& value) {
    return {charge_format, value.organisation, std::llround(value.cost)};
}

/// @return a whole number in [0, last] as an enumerator.
template<typename Enum> Enum enumerator(const json& value, Enum last) {
    const int number = value.get<int>();
    if (number < 0 || number > static_cast<int>(last))
        throw json::other_error::create(501, "unknown enumerator", &value);
    return static_cast<Enum>(number);
}

/// Rejects negative costs, with which a request would fill an account.
double cost_from(const json& value) {
    const auto cost = value.get<std::int64_t>();
    if (cost < 0)
        throw json::other_error::create(501, "negative cost", &value);
    return static_cast<double>(cost);
}

template<typename Message> Message account_message_from(const json& row) {
    Message value;
    value.number = row.at(1).get<std::uint64_t>();
    value.organisation = row.at(2).get<std::string>();
    value.cost = cost_from(row.at(3));
    value.account = enumerator(row.at(4), account_kind::deputy);
    return value;
}

usage_answer answer_from(const json& row) {
    usage_answer value;
    value.number = row.at(1).get<std::uint64_t>();
    value.verdict = enumerator(row.at(2), usage_verdict::refused);
    value.retry_after = base::milliseconds(row.at(3).get<std::int64_t>());
    return value;
}

usage_charge charge_from(const json& row) {
    return {row.at(1).get<std::string>(), cost_from(row.at(2))};
}

/// Checks the message type, a small number right after the array's header byte,
/// without parsing: most datagrams are of other types and would otherwise be
/// parsed twice.
bool may_be_usage_message(std::string_view datagram) {
    return datagram.size() >= 2 && datagram[1] >= request_format &&
           datagram[1] <= charge_format;
}

usage_message message_from(const json& row) {
    switch (row.at(0).get<int>()) {
    case request_format:
        return account_message_from<usage_request>(row);
    case answer_format:
        return answer_from(row);
    case refund_format:
        return account_message_from<usage_refund>(row);
    case charge_format:
        return charge_from(row);
    default:
        throw json::other_error::create(501, "unknown format", &row);
    }
}

} // namespace

std::string encode(const usage_message& value) {
    const json row =
        std::visit([](const auto& known) { return to_json(known); }, value);
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<usage_message> decode_usage(std::string_view datagram) {
    if (!may_be_usage_message(datagram))
        return absl::InvalidArgumentError("not a usage message");
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    try {
        return message_from(row);
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field is malformed");
    }
}

} // namespace mintknot::limits
