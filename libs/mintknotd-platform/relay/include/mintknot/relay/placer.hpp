/// @file
/// Interface for choosing the servers of a request, possibly on another
/// instance.
#ifndef MINTKNOT_RELAY_PLACER_HPP
#define MINTKNOT_RELAY_PLACER_HPP

#include <mintknot/policy/placement.hpp>
#include <mintknot/relay/ticket.hpp>

#include <functional>
#include <memory>

namespace mintknot::relay {

using placement_ticket = ticket;

using placement_handler = std::function<void(const policy::placement&)>;

/// Chooses servers for requests, possibly by querying other instances.
class placer {
public:
    virtual ~placer() = default;

    /// @return true if requests are currently placed by schedulers; otherwise
    /// the instance that has a request chooses its servers itself.
    virtual bool active() const = 0;

    /// Requests servers. `then` is called once, but not before this returns and
    /// not after the ticket is destroyed. An empty placement means that no
    /// server has free capacity.
    virtual std::unique_ptr<placement_ticket> request_placement(
        policy::placement_query query, placement_handler then) = 0;
};

} // namespace mintknot::relay

#endif
