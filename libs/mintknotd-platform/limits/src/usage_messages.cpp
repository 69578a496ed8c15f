#include "usage_messages.hpp"

#include <mintknot/base/datagram.hpp>

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
    const int number = base::number_from<int>(value);
    if (number < 0 || number > static_cast<int>(last))
        base::throw_malformed("unknown enumerator", value);
    return static_cast<Enum>(number);
}

/// Rejects negative costs, with which a request would fill an account.
double cost_from(const json& value) {
    const auto cost = base::number_from<std::int64_t>(value);
    if (cost < 0)
        base::throw_malformed("negative cost", value);
    return static_cast<double>(cost);
}

template<typename Message> Message account_message_from(const json& row) {
    Message value;
    value.number = base::number_from<std::uint64_t>(row.at(1));
    value.organisation = row.at(2).get<std::string>();
    value.cost = cost_from(row.at(3));
    value.account = enumerator(row.at(4), account_kind::deputy);
    return value;
}

usage_answer answer_from(const json& row) {
    usage_answer value;
    value.number = base::number_from<std::uint64_t>(row.at(1));
    value.verdict = enumerator(row.at(2), usage_verdict::refused);
    value.retry_after = base::time_from(row.at(3));
    return value;
}

usage_charge charge_from(const json& row) {
    return {row.at(1).get<std::string>(), cost_from(row.at(2))};
}

usage_message message_from(const json& row) {
    switch (base::number_from<int>(row.at(0))) {
    case request_format:
        return account_message_from<usage_request>(row);
    case answer_format:
        return answer_from(row);
    case refund_format:
        return account_message_from<usage_refund>(row);
    case charge_format:
        return charge_from(row);
    default:
        base::throw_malformed("unknown format", row);
    }
}

} // namespace

std::string encode(const usage_message& value) {
    return base::encode_datagram(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<usage_message> decode_usage(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {request_format, charge_format}, message_from);
}

} // namespace mintknot::limits
