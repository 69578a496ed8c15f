#include <mintknot/policy/super_peers.hpp>

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>

namespace mintknot::policy {

namespace {

/// Upper bound over all data centres: so many can exchange messages for less
/// than 0.01 of a core each. At least three in each data centre, however many
/// data centres there are: one may be stopped and one cut off.
constexpr std::size_t max_super_peers = 60;
constexpr std::size_t min_in_data_centre = 3;
/// Two schedulers, their standbys, two readers of the store, and as many again
/// to relay changes.
constexpr std::size_t max_in_data_centre = 12;
/// Members below the highest capacity class of the data centre become
/// super-peers only to fill up to the maximum divided by this number: reading
/// 10,000 rows takes 0.3 s on a whole core and 3 s on 0.12 of one (calculated).
constexpr std::size_t weak_fill_divisor = 2;
/// Processor shares are distinguished in units of a thousandth of a core.
constexpr double share_unit = 1000.0;
/// Key of this duty in rendezvous hashing.
constexpr const char* super_peer_key = "super-peer";

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

std::vector<instance_info> rank_members(std::vector<instance_info> members) {
    std::map<std::string, instance_info> by_host;
    std::map<int, std::vector<std::string>, std::greater<>> hosts_by_class;
    for (instance_info& member : members) {
        hosts_by_class[member.capacity].push_back(member.host);
        by_host[member.host] = std::move(member);
    }
    std::vector<instance_info> result;
    for (const auto& [capacity, hosts] : hosts_by_class)
        for (const std::string& host :
             base::rendezvous_first(super_peer_key, hosts, hosts.size()))
            result.push_back(by_host.at(host));
    return result;
}

std::size_t count_super_peers(
    const std::vector<instance_info>& by_rank, std::size_t data_centres) {
    const std::size_t most = std::clamp(
        max_super_peers / std::max<std::size_t>(data_centres, 1),
        min_in_data_centre, max_in_data_centre);
    const std::size_t least =
        std::max(min_in_data_centre, most / weak_fill_divisor);
    const auto first_weaker = std::find_if(
        by_rank.begin(), by_rank.end(), [&](const instance_info& member) {
            return member.capacity < by_rank.front().capacity;
        });
    const auto strong =
        static_cast<std::size_t>(first_weaker - by_rank.begin());
    return std::min(by_rank.size(), std::clamp(strong, least, most));
}

std::vector<std::string> registrars_to_ask(
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
        if (++looked_at > max_registrars)
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
                                         max_registrars, by_rank.size()));
}

} // namespace mintknot::policy
