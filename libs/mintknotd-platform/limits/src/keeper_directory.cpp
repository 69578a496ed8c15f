#include "keeper_directory.hpp"

#include <mintknot/base/rendezvous.hpp>

#include <algorithm>

namespace mintknot::limits {

namespace {

/// Shortest and longest time for which a silent host is passed over. A lost
/// datagram costs the first, a peer is forgotten within some of the last.
constexpr base::milliseconds min_suspicion{800};
constexpr base::milliseconds max_suspicion{3200};

} // namespace

void keeper_directory::set_hosts(
    std::vector<std::string> all, std::vector<std::string> near) {
    if (all_ != all)
        keepers_.clear();
    all_ = std::move(all);
    near_ = std::move(near);
}

bool keeper_directory::suspected(
    const std::string& host, base::steady_time now) const {
    const auto found = suspected_.find(host);
    return found != suspected_.end() && found->second.until > now;
}

const std::string&
keeper_directory::keeper_of(const std::string& organisation) {
    const auto [entry, added] = keepers_.try_emplace(organisation);
    if (added)
        entry->second = base::rendezvous(organisation, all_);
    return entry->second;
}

std::string keeper_directory::host_of(
    const std::string& organisation, account_kind account,
    base::steady_time now) {
    if (account == account_kind::keeper) {
        const std::string& host = keeper_of(organisation);
        return suspected(host, now) ? std::string() : host;
    }
    std::vector<std::string> hosts = near_;
    std::erase_if(
        hosts, [&](const std::string& host) { return suspected(host, now); });
    return base::rendezvous(organisation, hosts);
}

base::milliseconds
keeper_directory::suspect(const std::string& host, base::steady_time now) {
    suspicion& entry = suspected_[host];
    entry.length = std::clamp(entry.length * 2, min_suspicion, max_suspicion);
    entry.until = now + entry.length;
    return entry.length;
}

} // namespace mintknot::limits
