/// @file
/// Which instance keeps the account of an organisation.
#ifndef MINTKNOT_LIMITS_KEEPER_DIRECTORY_HPP
#define MINTKNOT_LIMITS_KEEPER_DIRECTORY_HPP

#include "usage_messages.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <utility>
#include <vector>

namespace mintknot::limits {

/// Keepers by rendezvous hashing among the hosts that stay. One that does not
/// answer is passed over for a while, longer each time: behind a cut each
/// question would wait for it in vain. It comes back with its first answer.
class keeper_directory {
public:
    /// Takes the hosts that stay, of all data centres and of the own one.
    void
    set_hosts(std::vector<std::string> all, std::vector<std::string> local);

    /// @return the host to ask; empty: there is none that answers.
    std::string host_of(
        const std::string& organisation, account_kind account,
        base::steady_time now);

    /// @return the keeper's host, whether it answers or not.
    const std::string& keeper_of(const std::string& organisation);

    /// @return how long the host is passed over from now on.
    base::milliseconds suspect(const std::string& host, base::steady_time now);
    void clear_suspicion(const std::string& host) { suspects_.erase(host); }

private:
    struct suspicion {
        base::steady_time until;
        base::milliseconds length{0};
    };
    /// Keepers that have been looked up among the present hosts.
    using keeper_cache = absl::flat_hash_map<std::string, std::string>;

    bool is_suspect(const std::string& host, base::steady_time now) const;

    std::vector<std::string> all_hosts_;
    std::vector<std::string> local_hosts_;
    keeper_cache keepers_;
    absl::flat_hash_map<std::string, suspicion> suspects_;
};

} // namespace mintknot::limits

#endif
