#include <mintknot/peers/peer_table.hpp>

#include <algorithm>

namespace mintknot::peers {

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
    table.most_seen = std::max(table.most_seen, table.heard.size() + 1);
    return true;
}

std::vector<std::string> expire(peer_table& table, base::steady_time now) {
    std::vector<std::string> gone;
    for (auto it = table.heard.begin(); it != table.heard.end();) {
        if (now - it->second.heard <= peer_life) {
            ++it;
            continue;
        }
        gone.push_back(it->first);
        it = table.heard.erase(it);
    }
    std::erase_if(table.candidates, [&](const auto& item) {
        return now - item.second > candidate_life &&
               !table.heard.contains(item.first);
    });
    return gone;
}

std::vector<std::string> recipients(const peer_table& table, bool all) {
    std::set<std::string> hosts;
    for (const auto& [host, known] : table.heard)
        hosts.insert(host);
    if (all) {
        for (const auto& [host, told] : table.candidates)
            hosts.insert(host);
        hosts.insert(table.seeds.begin(), table.seeds.end());
    }
    hosts.erase(table.own_host);
    return {hosts.begin(), hosts.end()};
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
    return table.most_seen;
}

bool is_large(const peer_table& table) {
    return instances(table) > large_group;
}

} // namespace mintknot::peers
