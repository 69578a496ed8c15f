#include "demand_report.hpp"

#include <mintknot/base/datagram.hpp>

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
    const auto sum = base::number_from<double>(value);
    if (!std::isfinite(sum) || sum < 0.0)
        base::throw_malformed("no sum", value);
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

demand_map demands_from(const json& row) {
    demand_map demands;
    for (const json& entry : base::bounded_rows(row.at(1), max_services))
        demands[entry.at(0).get<std::string>()] = demand_from(entry);
    return demands;
}

} // namespace

std::string encode(const demand_map& demands) {
    json rows = json::array();
    for (const auto& [service, demand] : demands)
        rows.push_back(to_json(service, demand));
    return base::encode_datagram({format, std::move(rows)});
}

absl::StatusOr<demand_map> decode_demand(std::string_view datagram) {
    return base::decode_datagram(datagram, {format, format}, demands_from);
}

} // namespace mintknot::orders
