/// @file
/// Finds the instance that keeps the account of an organisation.
#ifndef MINTKNOT_LIMITS_KEEPER_DIRECTORY_HPP
#define MINTKNOT_LIMITS_KEEPER_DIRECTORY_HPP

#include "usage_messages.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <utility>
#include <vector>

namespace mintknot::limits {

/// Chooses keepers by rendezvous hashing among the hosts that are not leaving.
/// A host that does not answer is suspected and skipped for a while, longer
/// each time: during a network partition, every request would wait for it until
/// the timeout. Its next answer ends the suspicion.
class keeper_directory {
public:
    /// Sets the hosts that are not leaving: those of all data centres and those
    /// of the own one.
    void
    set_hosts(std::vector<std::string> all, std::vector<std::string> local);

    /// @return the host to ask; empty if there is none that is not suspected.
    std::string host_of(
        const std::string& organisation, account_kind account,
        base::steady_time now);

    /// @return the keeper's host, whether it is suspected or not.
    const std::string& keeper_of(const std::string& organisation);

    /// Suspects a host that did not answer. @return how long it is skipped from
    /// now on.
    base::milliseconds suspect(const std::string& host, base::steady_time now);
    void clear_suspicion(const std::string& host) { suspects_.erase(host); }

private:
    struct suspicion {
        base::steady_time until;
        base::milliseconds length{0};
    };
    /// Keepers among the current hosts, by organisation.
    using keeper_cache = absl::flat_hash_map<std::string, std::string>;

    bool is_suspect(const std::string& host, base::steady_time now) const;

    std::vector<std::string> all_hosts_;
    std::vector<std::string> local_hosts_;
    keeper_cache keepers_;
    absl::flat_hash_map<std::string, suspicion> suspects_;
};

} // namespace mintknot::limits

#endif
