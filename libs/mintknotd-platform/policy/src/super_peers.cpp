#include <mintknot/policy/super_peers.hpp>

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace mintknot::policy {

namespace {

/// Of all data centres: as many as hear each other with less than 0.01 of a
/// core each. Three in each data centre, however many there are: one may be
/// stopped and one cut off.
constexpr std::size_t max_super_peers = 60;
constexpr std::size_t min_in_data_centre = 3;
/// Two schedulers, their standbys, two readers of the store, and as much again
/// to pass things on.
constexpr std::size_t max_in_data_centre = 12;
/// Weaker instances than the strongest of the data centre become super-peers
/// only where fewer than this part are there: reading 10,000 rows takes a whole
/// core 0.3 s and 0.12 of one 3 s (calculated).
constexpr std::size_t strong_part = 2;
/// Shares are told apart from a thousandth of a core on.
constexpr double share_unit = 1000.0;
/// Jobs are told apart by their names in rendezvous hashing.
constexpr const char* super_peer_job = "super-peer";

} // namespace

const char* to_string(group_role value) noexcept {
    switch (value) {
    case group_role::flat:
        return "flat";
    case group_role::leaf:
        return "leaf";
    case group_role::super_peer:
        return "super_peer";
    }
    return "unknown";
}

bool needs_super_peers(std::size_t instances) {
    return instances > max_flat_group;
}

int capacity_class(double processor_share) {
    const double units = std::max(1.0, processor_share * share_unit);
    return static_cast<int>(std::floor(std::log2(units)));
}

std::vector<instance_info> ranked(std::vector<instance_info> members) {
    std::map<std::string, instance_info> by_host;
    std::map<int, std::vector<std::string>, std::greater<>> hosts_by_class;
    for (instance_info& member : members) {
        hosts_by_class[member.capacity].push_back(member.host);
        by_host[member.host] = std::move(member);
    }
    std::vector<instance_info> result;
    for (const auto& [capacity, hosts] : hosts_by_class)
        for (const std::string& host :
             base::rendezvous_first(super_peer_job, hosts, hosts.size()))
            result.push_back(by_host.at(host));
    return result;
}

std::size_t super_peers_among(
    const std::vector<instance_info>& by_rank, std::size_t data_centres) {
    const std::size_t most = std::clamp(
        max_super_peers / std::max<std::size_t>(data_centres, 1),
        min_in_data_centre, max_in_data_centre);
    const std::size_t least = std::max(min_in_data_centre, most / strong_part);
    const auto first_weaker = std::find_if(
        by_rank.begin(), by_rank.end(), [&](const instance_info& member) {
            return member.capacity < by_rank.front().capacity;
        });
    const auto strong =
        static_cast<std::size_t>(first_weaker - by_rank.begin());
    return std::min(by_rank.size(), std::clamp(strong, least, most));
}

std::vector<std::string> registrars(
    const std::vector<instance_info>& by_rank, const std::string& own_host,
    const std::vector<std::string>& silent) {
    std::vector<std::string> hosts;
    std::size_t looked_at = 0;
    for (const instance_info& member : by_rank) {
        const bool is_silent =
            std::find(silent.begin(), silent.end(), member.host) !=
            silent.end();
        if (is_silent)
            continue;
        if (++looked_at > registrars_asked)
            break;
        if (member.host != own_host)
            hosts.push_back(member.host);
    }
    return hosts;
}

bool is_registrar(
    const std::vector<instance_info>& by_rank, const std::string& own_host) {
    const auto found = std::find_if(
        by_rank.begin(), by_rank.end(),
        [&](const instance_info& member) { return member.host == own_host; });
    return found - by_rank.begin() < static_cast<std::ptrdiff_t>(std::min(
                                         registrars_asked, by_rank.size()));
}

} // namespace mintknot::policy
