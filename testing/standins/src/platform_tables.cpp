#include <mintknot/standins/platform_tables.hpp>

#include <mintknot/base/json_reader.hpp>

namespace mintknot::standins {

using nlohmann::json;

json platform_tables::row_json(const std::string& key) const {
    const auto position = rows_.find(key);
    if (position == rows_.end())
        return {{"key", key}, {"revision", 0}};
    return {
        {"key", key},
        {"revision", position->second.revision},
        {"value", position->second.value}};
}

std::vector<json> platform_tables::commit(const json& writes) {
    const std::lock_guard lock(mutex_);
    std::vector<json> conflicts;
    for (const json& write : writes) {
        if (!write.contains("expected_revision"))
            continue;
        json current = row_json(base::field_or(write, "key", std::string()));
        if (current["revision"] != write["expected_revision"])
            conflicts.push_back(std::move(current));
    }
    if (!conflicts.empty())
        return conflicts;
    ++last_revision_;
    for (const json& write : writes) {
        const auto action = base::field_or(write, "action", std::string());
        const auto key = base::field_or(write, "key", std::string());
        if (action == "put")
            rows_[key] = {last_revision_, write.value("value", json())};
        else if (action == "erase")
            rows_.erase(key);
    }
    return {};
}

json platform_tables::read(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    return row_json(key);
}

json platform_tables::scan(
    const std::string& prefix, const std::string& after,
    std::size_t limit) const {
    const std::lock_guard lock(mutex_);
    json rows = json::array();
    auto position =
        after.empty() ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    while (position != rows_.end() && rows.size() < limit &&
           position->first.starts_with(prefix)) {
        rows.push_back(row_json(position->first));
        ++position;
    }
    return rows;
}

} // namespace mintknot::standins
