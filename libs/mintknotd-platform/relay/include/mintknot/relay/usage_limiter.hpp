/// @file
/// How requests ask whether their organisation may use more.
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

/// A part of an organisation's limit that one request may use.
struct usage_grant {
    bool granted = false;
    base::milliseconds retry_after{0}; ///< Set unless granted.
    double cost = 0.0;                 ///< In the unit of the limit.
    /// Which account it was drawn from, for the way back: the host that keeps
    /// it, the kind of account and the number of the question.
    std::string keeper;
    int account = 0;
    std::uint64_t number = 0;
};

/// What is granted to a question that was withdrawn goes back.
using usage_ticket = ticket;

using usage_handler = std::function<void(const usage_grant&)>;

/// Keeps organisations within their limits over all instances.
class usage_limiter {
public:
    virtual ~usage_limiter() = default;

    /// Asks for a grant. `then` is called once, not from within and not after
    /// the ticket has gone.
    virtual std::unique_ptr<usage_ticket> request_grant(
        const traffic::organisation& who, double cost, usage_handler then) = 0;

    /// Gives back what a request has not used: it has not run.
    virtual void
    refund(const std::string& organisation, const usage_grant& unused) = 0;
};

} // namespace mintknot::relay

#endif
