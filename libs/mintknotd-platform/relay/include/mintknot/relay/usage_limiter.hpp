/// @file
/// Interface through which requests draw on the usage limit of their
/// organisation.
#ifndef MINTKNOT_RELAY_USAGE_LIMITER_HPP
#define MINTKNOT_RELAY_USAGE_LIMITER_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/relay/ticket.hpp>
#include <mintknot/traffic/organisation_table.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mintknot::relay {

/// The share of an organisation's usage limit that is granted to one request.
struct usage_grant {
    bool granted = false;
    base::milliseconds retry_after{0}; ///< Set unless granted.
    double cost = 0.0;                 ///< In the unit of the limit.
    /// The account that the grant was drawn from, needed for a refund: the host
    /// that holds it (the keeper of the account or a deputy), the kind of
    /// account and the number of the query.
    std::string keeper;
    int account = 0;
    std::uint64_t number = 0;
};

/// Handle of a pending grant request. A grant that arrives after the ticket is
/// destroyed is refunded.
using usage_ticket = ticket;

using usage_handler = std::function<void(const usage_grant&)>;

/// Enforces the usage limits of organisations across all instances.
class usage_limiter {
public:
    virtual ~usage_limiter() = default;

    /// Requests a grant. `then` is called once, but not before this returns and
    /// not after the ticket is destroyed.
    virtual std::unique_ptr<usage_ticket> request_grant(
        const traffic::organisation& who, double cost, usage_handler then) = 0;

    /// Refunds the grant of a request that has not run.
    virtual void
    refund(const std::string& organisation, const usage_grant& unused) = 0;
};

} // namespace mintknot::relay

#endif
