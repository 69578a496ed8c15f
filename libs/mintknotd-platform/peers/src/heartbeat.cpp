#include <mintknot/peers/heartbeat.hpp>

#include <mintknot/peers/message_parts.hpp>

#include <cmath>

namespace mintknot::peers {

namespace {

using nlohmann::json;

/// First element; tells heartbeats of other formats apart.
constexpr int format = 1;
constexpr std::size_t fields = 13;

json optional_loads(const std::optional<traffic::load_map>& loads) {
    return loads ? loads_to_json(*loads) : json(nullptr);
}

std::optional<traffic::load_map> optional_loads_from(const json& rows) {
    if (rows.is_null())
        return std::nullopt;
    return loads_from(rows);
}

json usage_to_json(const policy::usage_map& usage) {
    json rows = json::array();
    for (const auto& [service, used] : usage)
        rows.push_back({service, used.requests, used.retries});
    return rows;
}

policy::usage_map usage_from(const json& rows) {
    policy::usage_map usage;
    for (const json& row : bounded(rows))
        usage[row.at(0).get<std::string>()] = {
            row.at(1).get<std::int64_t>(), row.at(2).get<std::int64_t>()};
    return usage;
}

json waiting_to_json(const std::map<std::string, double>& waiting) {
    json rows = json::array();
    for (const auto& [service, tokens] : waiting)
        rows.push_back({service, std::llround(tokens)});
    return rows;
}

std::map<std::string, double> waiting_from(const json& rows) {
    std::map<std::string, double> waiting;
    for (const json& row : bounded(rows))
        waiting[row.at(0).get<std::string>()] =
            static_cast<double>(row.at(1).get<std::int64_t>());
    return waiting;
}

} // namespace

std::string encode(const heartbeat& value) {
    const json row = {
        format,
        value.incarnation,
        value.sequence,
        value.configuration,
        value.servers,
        value.leaving,
        value.data_centre,
        usage_to_json(value.usage),
        optional_loads(value.loads),
        warnings_to_json(value.warnings),
        warnings_to_json(value.changes),
        waiting_to_json(value.waiting),
        value.hosts};
    const std::vector<std::uint8_t> bytes = json::to_msgpack(row);
    return {bytes.begin(), bytes.end()};
}

bool is_heartbeat(std::string_view datagram) {
    // MessagePack: an array of up to fifteen elements, then a small number.
    constexpr unsigned char short_array = 0x90;
    return datagram.size() >= 2 &&
           static_cast<unsigned char>(datagram[0]) == short_array + fields &&
           datagram[1] == format;
}

absl::StatusOr<heartbeat> decode(std::string_view datagram) {
    const json row =
        json::from_msgpack(datagram.begin(), datagram.end(), true, false);
    if (!row.is_array() || row.size() != fields || row[0] != format)
        return absl::InvalidArgumentError("no heartbeat of this format");
    try {
        heartbeat value;
        value.incarnation = row[1].get<std::uint64_t>();
        value.sequence = row[2].get<std::uint64_t>();
        value.configuration = row[3].get<std::uint64_t>();
        value.servers = row[4].get<std::uint64_t>();
        value.leaving = row[5].get<bool>();
        value.data_centre = row[6].get<std::string>();
        value.usage = usage_from(row[7]);
        value.loads = optional_loads_from(row[8]);
        value.warnings = warnings_from(row[9]);
        value.changes = warnings_from(row[10]);
        value.waiting = waiting_from(row[11]);
        value.hosts = row[12].get<std::vector<std::string>>();
        return value;
    } catch (const json::exception&) {
        return absl::InvalidArgumentError("a field has a wrong type");
    }
}

} // namespace mintknot::peers
