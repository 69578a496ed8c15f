/// @file
/// Enforces the usage limits of organisations across all instances.
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

/// Another instance whose heartbeats are received.
struct group_peer {
    std::string host;
    std::string data_centre;
    bool leaving = false;
    base::milliseconds silence{0}; ///< Since its last heartbeat.
};

/// Callbacks through which usage_accounts reaches other instances.
struct usage_account_callbacks {
    std::string own_host;
    /// Sends a datagram to the instance on that host.
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return the other instances whose heartbeats are received.
    std::function<std::vector<group_peer>()> members;
    /// @return true while this instance may keep accounts, that is, until it
    /// begins to stop.
    std::function<bool()> may_keep_accounts;
    /// @return the number of instances that divide a limit when each grants
    /// from its own account, if members() lists only some of them; else 0. May
    /// be empty, which means 0.
    std::function<std::size_t()> instance_count{};
};

/// Outcomes of usage requests since the start, for metrics.
struct account_counters {
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t granted_by_deputies = 0; ///< Granted by a deputy's account.
    std::uint64_t granted_alone = 0; ///< Granted by the instance's own account.
};

/// Asks the instance that keeps the account of an organisation (its keeper)
/// before a request runs, and answers usage requests of other instances
/// (policy/usage_account.hpp). Takes two datagrams per request. Nothing is
/// stored, and choosing keepers needs no consensus.
///
/// Used only on the event loop's thread. The router and everything that the
/// callbacks refer to must outlive it.
class usage_accounts final : public relay::usage_limiter {
public:
    usage_accounts(
        relay::router_context& router, usage_account_callbacks ports,
        const policy::usage_bounds& bounds);
    ~usage_accounts() override;
    usage_accounts(const usage_accounts&) = delete;
    usage_accounts& operator=(const usage_accounts&) = delete;

    std::unique_ptr<relay::usage_ticket> request_grant(
        const traffic::organisation& who, double cost,
        relay::usage_handler then) override;
    void refund(
        const std::string& organisation,
        const relay::usage_grant& unused) override;

    /// Applies changed settings.
    void set_bounds(const policy::usage_bounds& bounds);

    /// @return false if the datagram is not a usage message.
    bool receive(const std::string& host, std::string_view datagram);

    const account_counters& counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::limits

#endif
