#include <mintknot/peers/peer_table.hpp>

#include <algorithm>

namespace mintknot::peers {

namespace {

/// Groups up to this size are told at the base period, larger ones more
/// rarely.
constexpr std::size_t max_group_at_base_period = 40;
constexpr base::milliseconds max_near_period{1300};
/// Mean time between two heartbeats to other data centres: some 4 KB a second.
constexpr base::milliseconds far_heartbeat_gap{21};
/// Heartbeats that may be lost before an instance is taken for gone.
constexpr int missed_heartbeats_to_expire = 3;

bool is_far(const peer_table& table, const peer& known) {
    return known.data_centre != table.own_data_centre;
}

} // namespace

bool note(
    peer_table& table, const std::string& host, const heartbeat& value,
    base::steady_time now) {
    if (host == table.own_host)
        return false;
    peer& known = table.heard[host];
    if (known.incarnation == value.incarnation &&
        known.sequence >= value.sequence)
        return false;
    known = {value.incarnation,   value.sequence, now,
             value.configuration, value.servers,  value.leaving,
             value.data_centre};
    table.candidates[host] = now;
    for (const std::string& other : value.hosts)
        if (other != table.own_host)
            table.candidates.emplace(other, now);
    table.largest_size = std::max(table.largest_size, table.heard.size() + 1);
    return true;
}

std::vector<std::string> expire(peer_table& table, base::steady_time now) {
    std::vector<std::string> gone;
    const base::milliseconds longest = life(table);
    for (auto it = table.heard.begin(); it != table.heard.end();) {
        if (now - it->second.heard <= longest) {
            ++it;
            continue;
        }
        gone.push_back(it->first);
        it = table.heard.erase(it);
    }
    std::erase_if(table.candidates, [&](const auto& item) {
        return now - item.second >
                   candidate_life + longest - policy::peer_lifetime &&
               !table.heard.contains(item.first);
    });
    return gone;
}

std::vector<std::string> heard_hosts(const peer_table& table, audience which) {
    std::vector<std::string> hosts;
    for (const auto& [host, known] : table.heard)
        if (which == audience::all || !is_far(table, known))
            hosts.push_back(host);
    return hosts;
}

std::vector<std::string> sought_hosts(const peer_table& table) {
    std::set<std::string> hosts = table.seeds;
    for (const auto& [host, told] : table.candidates)
        hosts.insert(host);
    hosts.erase(table.own_host);
    std::erase_if(hosts, [&](const std::string& host) {
        return table.heard.contains(host);
    });
    return {hosts.begin(), hosts.end()};
}

base::milliseconds
near_period(const peer_table& table, base::milliseconds base_period) {
    const std::size_t size = table.heard.size();
    if (size <= max_group_at_base_period)
        return base_period;
    return std::min(
        max_near_period,
        base_period * static_cast<std::int64_t>(size) /
            static_cast<std::int64_t>(max_group_at_base_period));
}

base::milliseconds
far_period(const peer_table& table, base::milliseconds base_period) {
    const auto far = std::count_if(
        table.heard.begin(), table.heard.end(),
        [&](const auto& item) { return is_far(table, item.second); });
    return std::max(near_period(table, base_period), far_heartbeat_gap * far);
}

base::milliseconds life(const peer_table& table) {
    // Others may have more far peers than this instance: all count.
    return std::max(
        policy::peer_lifetime,
        far_heartbeat_gap * missed_heartbeats_to_expire *
            static_cast<std::int64_t>(table.heard.size()));
}

std::vector<std::string>
staying(const peer_table& table, const std::string& data_centre) {
    std::vector<std::string> hosts;
    for (const auto& [host, known] : table.heard)
        if (!known.leaving &&
            (data_centre.empty() || known.data_centre == data_centre))
            hosts.push_back(host);
    return hosts;
}

std::size_t instances(const peer_table& table) {
    return table.largest_size;
}

bool is_large(const peer_table& table) {
    return policy::is_large_group(instances(table));
}

} // namespace mintknot::peers
