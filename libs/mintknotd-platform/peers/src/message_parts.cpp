#include <mintknot/peers/message_parts.hpp>

#include <mintknot/base/json_values.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace mintknot::peers {

namespace {

using nlohmann::json;

constexpr std::size_t max_entries = 4096;

/// Index of the profile in a load that has one.
constexpr std::size_t profile_element = 4;
/// Unit of the values of a profile, in tokens.
constexpr double profile_unit = 64.0;

double number(const json& value) {
    return static_cast<double>(base::number_from<std::int64_t>(value));
}

std::int64_t in_units(double tokens) {
    return std::max<std::int64_t>(0, std::llround(tokens / profile_unit));
}

json load_to_json(const std::string& id, const traffic::server_load& load) {
    json row = {
        id, load.calls, std::llround(load.prefill_tokens),
        std::llround(load.memory_tokens)};
    if (load.profile.present())
        row.push_back(profile_to_json(load.profile));
    return row;
}

traffic::server_load load_from(const json& row) {
    traffic::server_load load{
        base::number_from<int>(row.at(1)), number(row.at(2)),
        number(row.at(3))};
    if (row.size() <= profile_element)
        return load;
    load.profile = profile_from(row[profile_element]);
    load.profile.covered = load.memory_tokens;
    return load;
}

} // namespace

json profile_to_json(const traffic::memory_profile& profile) {
    std::vector<std::int64_t> values{in_units(profile.highest.back())};
    for (const double tokens : profile.mean)
        values.push_back(in_units(tokens));
    for (std::size_t i = 1; i < traffic::memory_profile::points; ++i)
        values.push_back(
            in_units(std::sqrt(std::max(0.0, profile.variance[i]))));
    while (!values.empty() && values.back() == 0)
        values.pop_back();
    return values;
}

traffic::memory_profile profile_from(const json& row) {
    constexpr std::size_t points = traffic::memory_profile::points;
    std::array<double, 2 * points> values{};
    for (std::size_t i = 0; i < std::min(row.size(), values.size()); ++i)
        values[i] = std::clamp(
            number(row.at(i)) * profile_unit, 0.0, traffic::max_profile_tokens);
    traffic::memory_profile profile;
    for (std::size_t i = 0; i < points; ++i) {
        const double part =
            static_cast<double>(i) / static_cast<double>(points - 1);
        profile.mean[i] = values[i + 1];
        if (i > 0)
            profile.variance[i] = values[points + i] * values[points + i];
        // Streams that run grow evenly.
        profile.highest[i] = std::max(
            profile.mean[i],
            profile.mean[0] + part * (values[0] - profile.mean[0]));
    }
    return profile;
}

const json& bounded(const json& rows) {
    return base::bounded_rows(rows, max_entries);
}

json loads_to_json(const traffic::load_map& loads) {
    json rows = json::array();
    for (const auto& [id, load] : loads)
        rows.push_back(load_to_json(id, load));
    return rows;
}

traffic::load_map loads_from(const json& rows) {
    traffic::load_map loads;
    for (const json& row : bounded(rows))
        loads[row.at(0).get<std::string>()] = load_from(row);
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
            {row.at(0).get<std::string>(), base::time_from(row.at(1))});
    return warnings;
}

} // namespace mintknot::peers
