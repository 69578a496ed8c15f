#include "demand_report.hpp"

#include <nlohmann/json.hpp>

#include <cmath>

namespace mintknot::orders {

namespace {

using nlohmann::json;

/// First element of a message; heartbeats have 1, placements 2 to 4, loans 5
/// and 6.
constexpr int format = 7;
/// Bounds what one datagram can make the receiver keep.
constexpr std::size_t max_services = 64;

json to_json(const std::string& service, const policy::phase_demand& demand) {
    return {
        service,
        demand.requests,
        demand.decode_seconds,
        demand.prefills,
        demand.prefill_tokens,
        demand.total_prefill_ms,
        demand.tokens_squared,
        demand.tokens_times_time};
}

/// Throws json::exception at a value that is no sum.
double sum_from(const json& value) {
    const auto sum = value.get<double>();
    if (!std::isfinite(sum) || sum < 0.0)
        throw json::other_error::create(501, "no sum", &value);
    return sum;
}

policy::phase_demand demand_from(const json& row) {
    policy::phase_demand demand;
    demand.requests = sum_from(row.at(1));
    demand.decode_seconds = sum_from(row.at(2));
    demand.prefills = sum_from(row.at(3));
    demand.prefill_tokens = sum_from(row.at(4));
    demand.total_prefill_ms = sum_from(row.at(5));
    demand.tokens_squared = sum_from(row.at(6));
    demand.tokens_times_time = sum_from(row.at(7));
    return demand;
}

/// The first element is a small number right behind the array's own byte.
bool may_be_demand(std::string_view datagram) {
    return datagram.size() >= 2 && datagram[1] == format;
}

} // namespace

std::string encode(const demand_map& demands) {
    json rows = json::array();
    for (const auto& [service, demand] : demands)
        rows.push_back(to_json(service, demand));
    const std::vector<std::uint8_t> bytes =
        json::to_msgpack(json{format, std::move(rows)});
    return {bytes.begin(), bytes.end()};
}

absl::StatusOr<demand_map> decode_demand(std::string_view datagram) {
    if (!may_be_demand(datagram))
        return absl::InvalidArgumentError("no report of demand");
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!row.is_array() || row.size() != 2 || row[0] != format ||
        !row[1].is_array() || row[1].size() > max_services)
        return absl::InvalidArgumentError("no report of demand");
    try {
        demand_map demands;
        for (const json& entry : row[1])
            demands[entry.at(0).get<std::string>()] = demand_from(entry);
        return demands;
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field is malformed");
    }
}

} // namespace mintknot::orders
