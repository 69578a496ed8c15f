#include "keeper_directory.hpp"

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>

namespace mintknot::limits {

namespace {

/// Shortest and longest time for which a host is suspected. A single lost
/// datagram costs the shortest; a peer that is gone is forgotten within a few
/// of the longest.
constexpr base::milliseconds min_suspect_time{800};
constexpr base::milliseconds max_suspect_time{3200};

} // namespace

void keeper_directory::set_hosts(
    std::vector<std::string> all, std::vector<std::string> local) {
    if (all_hosts_ != all)
        keepers_.clear();
    all_hosts_ = std::move(all);
    local_hosts_ = std::move(local);
}

bool keeper_directory::is_suspect(
    const std::string& host, base::steady_time now) const {
    const auto found = suspects_.find(host);
    return found != suspects_.end() && found->second.until > now;
}

const std::string&
keeper_directory::keeper_of(const std::string& organisation) {
    const auto [entry, added] = keepers_.try_emplace(organisation);
    if (added)
        entry->second = base::rendezvous(organisation, all_hosts_);
    return entry->second;
}

std::string keeper_directory::host_of(
    const std::string& organisation, account_kind account,
    base::steady_time now) {
    if (account == account_kind::keeper) {
        const std::string& host = keeper_of(organisation);
        return is_suspect(host, now) ? std::string() : host;
    }
    std::vector<std::string> hosts = local_hosts_;
    std::erase_if(
        hosts, [&](const std::string& host) { return is_suspect(host, now); });
    return base::rendezvous(organisation, hosts);
}

base::milliseconds
keeper_directory::suspect(const std::string& host, base::steady_time now) {
    suspicion& entry = suspects_[host];
    entry.length =
        std::clamp(entry.length * 2, min_suspect_time, max_suspect_time);
    entry.until = now + entry.length;
    return entry.length;
}

} // namespace mintknot::limits
