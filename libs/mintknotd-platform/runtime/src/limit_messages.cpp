#include "limit_messages.hpp"

#include <mintknot/base/datagram.hpp>
#include <mintknot/policy/server_limit.hpp>

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
        value.rate = base::number_from<double>(row.at(2));
    if (value.rate && !(std::isfinite(*value.rate) && *value.rate >= 0.0))
        base::throw_malformed("invalid rate", row);
    const auto age = base::number_from<std::int64_t>(row.at(3));
    value.age = base::milliseconds(std::clamp<std::int64_t>(
        age, 0, base::milliseconds(policy::limit_lifetime).count()));
    return value;
}

limit_message message_from(const json& row) {
    switch (base::number_from<int>(row.at(0))) {
    case report_format:
        return report_from(row);
    case request_format:
        return token_request{row.at(1).get<std::string>()};
    default:
        return token_offer{row.at(1).get<std::string>()};
    }
}

} // namespace

std::string encode(const limit_message& value) {
    return base::encode_datagram(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<limit_message> decode_limit(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {report_format, offer_format}, message_from);
}

} // namespace mintknot::runtime
