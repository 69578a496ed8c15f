/// @file
/// Keeps organisations within their limits over all instances.
#ifndef MINTKNOT_LIMITS_USAGE_ACCOUNTS_HPP
#define MINTKNOT_LIMITS_USAGE_ACCOUNTS_HPP

#include <mintknot/policy/usage_account.hpp>
#include <mintknot/relay/router_state.hpp>
#include <mintknot/relay/usage_limiter.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::limits {

/// Another instance that is heard at present.
struct group_peer {
    std::string host;
    std::string data_centre;
    bool leaving = false;
    base::milliseconds silence{0}; ///< Since it was last heard.
};

/// How the accounts reach other instances.
struct usage_account_callbacks {
    std::string own_host;
    /// Sends a datagram to the instance on that host.
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return the others that are heard.
    std::function<std::vector<group_peer>()> members;
    /// @return true while this instance may keep accounts: it does not stop.
    std::function<bool()> may_keep_accounts;
    /// @return how many instances share what each may grant alone, where
    /// members() are only some of them; else 0. Empty: 0.
    std::function<std::size_t()> instance_count{};
};

/// What has become of questions, since the start, for metrics.
struct account_counters {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t granted_by_deputies = 0; ///< Granted by a deputy's account.
    std::uint64_t granted_alone = 0; ///< Granted by the instance's own account.
};

/// Asks the keeper of an organisation's account before a request runs, and
/// answers such questions of others (policy/usage_account.hpp). Two datagrams a
/// request; nothing is stored, and nobody needs to agree on keepers.
///
/// Lives on the loop's thread. Everything that is passed in must outlive it.
class usage_accounts final : public relay::usage_limiter {
public:
    usage_accounts(
        relay::router_context& router, usage_account_callbacks ports,
        const policy::usage_bounds& bounds);
    ~usage_accounts() override;
    usage_accounts(const usage_accounts&) = delete;
    usage_accounts& operator=(const usage_accounts&) = delete;

    std::unique_ptr<relay::usage_ticket>
    ask(const traffic::organisation& who, double cost,
        relay::usage_handler then) override;
    void give_back(
        const std::string& organisation,
        const relay::usage_grant& unused) override;

    /// The settings have changed.
    void set_bounds(const policy::usage_bounds& bounds);

    /// @return false if the datagram is about something else.
    bool receive(const std::string& host, std::string_view datagram);

    const account_counters& counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::limits

#endif
