#include <mintknot/peers/heartbeat.hpp>

#include <mintknot/base/datagram.hpp>
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
            base::number_from<std::int64_t>(row.at(1)),
            base::number_from<std::int64_t>(row.at(2))};
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
            static_cast<double>(base::number_from<std::int64_t>(row.at(1)));
    return waiting;
}

heartbeat heartbeat_from(const json& row) {
    if (row.size() != fields)
        base::throw_malformed("not a heartbeat of this format", row);
    heartbeat value;
    value.incarnation = base::number_from<std::uint64_t>(row[1]);
    value.sequence = base::number_from<std::uint64_t>(row[2]);
    value.configuration = base::number_from<std::uint64_t>(row[3]);
    value.servers = base::number_from<std::uint64_t>(row[4]);
    value.leaving = row[5].get<bool>();
    value.data_centre = row[6].get<std::string>();
    value.usage = usage_from(row[7]);
    value.loads = optional_loads_from(row[8]);
    value.warnings = warnings_from(row[9]);
    value.changes = warnings_from(row[10]);
    value.waiting = waiting_from(row[11]);
    value.hosts = row[12].get<std::vector<std::string>>();
    return value;
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
    return base::encode_datagram(row);
}

bool is_heartbeat(std::string_view datagram) {
    // MessagePack: an array of up to fifteen elements, then a small number.
    constexpr unsigned char short_array = 0x90;
    return datagram.size() >= 2 &&
           static_cast<unsigned char>(datagram[0]) == short_array + fields &&
           datagram[1] == format;
}

absl::StatusOr<heartbeat> decode(std::string_view datagram) {
    return base::decode_datagram(datagram, {format, format}, heartbeat_from);
}

} // namespace mintknot::peers
