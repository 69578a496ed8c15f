#include "loan_messages.hpp"

#include <mintknot/base/datagram.hpp>

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
    const auto number = base::number_from<std::uint64_t>(row.at(1));
    if (base::number_from<int>(row.at(0)) == request_format)
        return loan_request{
            number, row.at(2).get<std::string>(),
            base::number_from<int>(row.at(3))};
    return loan_offer{number, base::number_from<int>(row.at(2))};
}

} // namespace

std::string encode(const loan_message& value) {
    return base::encode_datagram(
        std::visit([](const auto& known) { return to_json(known); }, value));
}

absl::StatusOr<loan_message> decode_loan(std::string_view datagram) {
    return base::decode_datagram(
        datagram, {request_format, offer_format}, message_from);
}

} // namespace mintknot::runtime
