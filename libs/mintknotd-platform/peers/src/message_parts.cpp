#include <mintknot/peers/message_parts.hpp>

#include <cmath>

namespace mintknot::peers {

namespace {

using nlohmann::json;

constexpr std::size_t max_entries = 4096;
/// As the JSON library numbers its own errors of this kind.
constexpr int error_number = 501;

double number(const json& value) {
    return static_cast<double>(value.get<std::int64_t>());
}

} // namespace

const json& bounded(const json& rows) {
    if (!rows.is_array() || rows.size() > max_entries)
        throw json::other_error::create(
            error_number, "too many entries", &rows);
    return rows;
}

json loads_to_json(const traffic::load_map& loads) {
    json rows = json::array();
    for (const auto& [id, load] : loads)
        rows.push_back(
            {id, load.calls, std::llround(load.prefill_tokens),
             std::llround(load.memory_tokens)});
    return rows;
}

traffic::load_map loads_from(const json& rows) {
    traffic::load_map loads;
    for (const json& row : bounded(rows))
        loads[row.at(0).get<std::string>()] = {
            row.at(1).get<int>(), number(row.at(2)), number(row.at(3))};
    return loads;
}

json warnings_to_json(const std::vector<policy::server_warning>& warnings) {
    json rows = json::array();
    for (const policy::server_warning& warning : warnings)
        rows.push_back({warning.server_id, warning.left.count()});
    return rows;
}

std::vector<policy::server_warning> warnings_from(const json& rows) {
    std::vector<policy::server_warning> warnings;
    for (const json& row : bounded(rows))
        warnings.push_back(
            {row.at(0).get<std::string>(),
             base::milliseconds(row.at(1).get<std::int64_t>())});
    return warnings;
}

} // namespace mintknot::peers
