#include "row_store.hpp"

namespace mintknot::soak {

using nlohmann::json;

namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 412;

std::pair<std::string, std::string> place_of(const json& entry) {
    return {
        entry.at("table").get<std::string>(),
        entry.at("key").get<std::string>()};
}

} // namespace

json row_store::to_json(
    const std::string& table, const std::string& key, const row& entry) const {
    json result = {
        {"table", table}, {"part", ""}, {"key", key}, {"ver", entry.version}};
    if (entry.gone)
        result["gone"] = true;
    else
        result["value"] = entry.value;
    return result;
}

std::pair<int, json> row_store::transact(const json& request, time now) {
    for (const json& wanted : request.value("expected_count", json::array())) {
        const auto found = rows_.find(place_of(wanted));
        const std::uint64_t has = found == rows_.end() || found->second.gone
                                      ? 0
                                      : found->second.version;
        if (has != wanted.at("ver").get<std::uint64_t>())
            return {status_conflict, {{"ver", version_}}};
    }
    ++version_;
    for (const json& put : request.value("put", json::array())) {
        row& entry = rows_[place_of(put)];
        const auto value = put.at("value").get<std::string>();
        // A heartbeat that says nothing new does not change the row.
        if (entry.version == 0 || entry.gone || entry.value != value)
            entry.version = version_;
        entry.value = value;
        entry.gone = false;
        entry.written = now;
    }
    for (const json& removed : request.value("remove", json::array())) {
        const auto found = rows_.find(place_of(removed));
        if (found == rows_.end())
            continue;
        found->second.gone = true;
        found->second.version = version_;
    }
    return {status_ok, {{"ver", version_}, {"now_ms", 0}}};
}

json row_store::read(const std::string& table) const {
    json rows = json::array();
    for (const auto& [place, entry] : rows_)
        if (place.first == table && !entry.gone)
            rows.push_back(to_json(table, place.second, entry));
    return {{"rows", rows}, {"more", false}, {"ver", version_}};
}

json row_store::changes(const std::string& table, std::uint64_t after) const {
    json rows = json::array();
    for (const auto& [place, entry] : rows_)
        if (place.first == table && entry.version > after)
            rows.push_back(to_json(table, place.second, entry));
    return {{"rows", rows}, {"ver", version_}};
}

void row_store::expire(
    const std::string& table, std::chrono::milliseconds silence, time now) {
    for (auto& [place, entry] : rows_) {
        if (place.first != table || entry.gone ||
            now - entry.written <= silence)
            continue;
        entry.gone = true;
        entry.version = ++version_;
    }
}

} // namespace mintknot::soak
