#include <mintknot/traffic/server_table.hpp>

#include <algorithm>

namespace mintknot::traffic {

namespace {

/// How far versions may run ahead before the trace of a server that has gone
/// is dropped.
constexpr std::size_t most_traces = 4096;

void rebuild(server_table& table) {
    table.open_by_service.clear();
    for (const auto& [id, entry] : table.by_id)
        if (entry.value && !entry.value->draining)
            table.open_by_service[entry.value->service].push_back(
                &*entry.value);
    for (auto& [name, servers] : table.open_by_service)
        std::sort(
            servers.begin(), servers.end(),
            [](const server* left, const server* right) {
                return left->id < right->id;
            });
}

void drop_traces(server_table& table) {
    if (table.by_id.size() <= most_traces)
        return;
    std::erase_if(table.by_id, [&table](const auto& item) {
        return !item.second.value && item.second.version != table.newest;
    });
}

} // namespace

std::string_view to_string(engine_phase value) noexcept {
    switch (value) {
    case engine_phase::none:
        return "none";
    case engine_phase::prefill:
        return "prefill";
    case engine_phase::decode:
        return "decode";
    }
    return "unknown";
}

bool apply(
    server_table& table, const std::string& id, std::uint64_t version,
    std::optional<server> value) {
    server_table::entry& entry = table.by_id[id];
    if (entry.version >= version)
        return false;
    entry.version = version;
    entry.value = std::move(value);
    table.newest = std::max(table.newest, version);
    drop_traces(table);
    rebuild(table);
    return true;
}

const server* find(const server_table& table, const std::string& id) {
    const auto found = table.by_id.find(id);
    if (found == table.by_id.end() || !found->second.value)
        return nullptr;
    return &*found->second.value;
}

std::size_t count(const server_table& table) {
    return static_cast<std::size_t>(std::count_if(
        table.by_id.begin(), table.by_id.end(),
        [](const auto& item) { return item.second.value.has_value(); }));
}

const std::vector<const server*>&
open_servers(const server_table& table, const std::string& service) {
    static const std::vector<const server*> none;
    const auto found = table.open_by_service.find(service);
    return found == table.open_by_service.end() ? none : found->second;
}

} // namespace mintknot::traffic
