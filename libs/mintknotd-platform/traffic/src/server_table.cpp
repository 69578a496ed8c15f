#include <mintknot/traffic/server_table.hpp>

#include <algorithm>

namespace mintknot::traffic {

namespace {

/// Traces of servers that have gone which are kept, so that late news of them
/// are known to be old. They are counted, and not the servers that are there:
/// with all entries counted, each row beyond the first 4,096 looked at the
/// whole table, 44 million entries for 10,000 rows.
constexpr std::size_t max_traces = 4096;

/// Servers named by schedulers that are kept: a request lasts for some seconds,
/// and an instance of a very large group has less than one a second.
constexpr std::size_t max_named = 512;

/// Words of servers that have gone are kept for the case that their rows come
/// back; more than this are looked through.
constexpr std::size_t max_words = 1024;

bool is_open(const server_table& table, const server_table::entry& entry) {
    return entry.value && !entry.only_named && takes_new(table, *entry.value);
}

bool id_is_less(const server* left, const std::string& id) {
    return left->id < id;
}

/// Puts a server among those of its service, which are sorted by ID.
void add_open(server_table& table, const server& added) {
    ++table.open_versions[added.service][added.version];
    std::vector<const server*>& servers = table.open_by_service[added.service];
    servers.insert(
        std::lower_bound(servers.begin(), servers.end(), added.id, id_is_less),
        &added);
}

void count_out(
    std::map<std::string, std::size_t>& versions, const std::string& version) {
    const auto counted = versions.find(version);
    if (--counted->second == 0)
        versions.erase(counted);
}

void remove_open(server_table& table, const server& removed) {
    const auto service = table.open_by_service.find(removed.service);
    if (service == table.open_by_service.end())
        return;
    std::vector<const server*>& servers = service->second;
    const auto found = std::lower_bound(
        servers.begin(), servers.end(), removed.id, id_is_less);
    if (found == servers.end() || *found != &removed)
        return;
    servers.erase(found);
    count_out(table.open_versions[removed.service], removed.version);
    if (servers.empty())
        table.open_by_service.erase(service);
}

void drop_traces(server_table& table) {
    if (table.traces <= max_traces)
        return;
    table.swept += table.by_id.size();
    table.traces -= std::erase_if(table.by_id, [&table](const auto& item) {
        return !item.second.value && item.second.version != table.newest;
    });
}

/// Drops words of servers that are not known any more.
void drop_words(server_table& table) {
    if (table.said_leaving.size() <= max_words)
        return;
    std::erase_if(table.said_leaving, [&table](const auto& item) {
        return find(table, item.first) == nullptr;
    });
}

bool is_trace(const server_table::entry& entry) {
    return entry.version != 0 && !entry.value;
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

bool is_other_life(const server& left, const server& right) noexcept {
    return left.born != 0 && right.born != 0 && left.born != right.born;
}

bool apply(
    server_table& table, const std::string& id, std::uint64_t version,
    std::optional<server> value) {
    server_table::entry& entry = table.by_id[id];
    const bool known = entry.version > version ||
                       (entry.version == version && !entry.only_named);
    if (known)
        return false;
    if (is_trace(entry))
        --table.traces;
    entry.version = version;
    if (is_open(table, entry))
        remove_open(table, *entry.value);
    entry.only_named = false;
    entry.value = std::move(value);
    if (is_open(table, entry))
        add_open(table, *entry.value);
    if (is_trace(entry))
        ++table.traces;
    table.newest = std::max(table.newest, version);
    drop_traces(table);
    return true;
}

void note_named(server_table& table, const versioned_server& news) {
    server_table::entry& entry = table.by_id[news.value.id];
    const bool fresh = entry.version == 0;
    if (!fresh && (!entry.only_named || entry.version >= news.version))
        return;
    entry = {news.value, news.version, true};
    if (!fresh)
        return;
    table.named.push_back(news.value.id);
    if (table.named.size() <= max_named)
        return;
    const auto oldest = table.by_id.find(table.named.front());
    if (oldest != table.by_id.end() && oldest->second.only_named)
        table.by_id.erase(oldest);
    table.named.pop_front();
}

std::vector<const server*>
named_servers(const server_table& table, const std::string& service) {
    std::vector<const server*> found;
    for (const std::string& id : table.named) {
        const server* known = find(table, id);
        if (known != nullptr && known->service == service)
            found.push_back(known);
    }
    return found;
}

void become_partial(server_table& table) {
    server_table fresh;
    fresh.partial = true;
    fresh.closed_data_centres = std::move(table.closed_data_centres);
    fresh.said_leaving = std::move(table.said_leaving);
    table = std::move(fresh);
}

void set_closed(
    server_table& table, const std::string& data_centre, bool closed) {
    if (closed == table.closed_data_centres.contains(data_centre))
        return;
    const auto concerned = [&](const server_table::entry& entry) {
        return entry.value && entry.value->data_centre == data_centre;
    };
    for (const auto& [id, entry] : table.by_id)
        if (closed && concerned(entry) && is_open(table, entry))
            remove_open(table, *entry.value);
    if (closed)
        table.closed_data_centres.insert(data_centre);
    else
        table.closed_data_centres.erase(data_centre);
    for (const auto& [id, entry] : table.by_id)
        if (!closed && concerned(entry) && is_open(table, entry))
            add_open(table, *entry.value);
}

bool note_leaving(server_table& table, const std::string& id) {
    const auto entry = table.by_id.find(id);
    if (entry == table.by_id.end() || !entry->second.value ||
        leaves(table, *entry->second.value))
        return false;
    const server& known = *entry->second.value;
    if (is_open(table, entry->second))
        remove_open(table, known);
    table.said_leaving[id] = known.born;
    drop_words(table);
    return true;
}

bool leaves(const server_table& table, const server& value) {
    if (value.draining)
        return true;
    const auto said = table.said_leaving.find(value.id);
    return said != table.said_leaving.end() &&
           (said->second == 0 || value.born == 0 || said->second == value.born);
}

bool takes_new(const server_table& table, const server& value) {
    return !leaves(table, value) &&
           !table.closed_data_centres.contains(value.data_centre);
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
