/// @file
/// How requests get their servers where another instance may choose.
#ifndef MINTKNOT_RELAY_PLACER_HPP
#define MINTKNOT_RELAY_PLACER_HPP

#include <mintknot/policy/placement.hpp>
#include <mintknot/relay/ticket.hpp>

#include <functional>
#include <memory>

namespace mintknot::relay {

using placement_ticket = ticket;

using placement_handler = std::function<void(const policy::placement&)>;

/// Chooses servers for requests, perhaps by asking other instances.
class placer {
public:
    virtual ~placer() = default;

    /// @return true if questions go to schedulers at present; else callers
    /// choose for themselves.
    virtual bool active() const = 0;

    /// Asks for servers. `then` is called once, not from within and not after
    /// the ticket has gone; an empty placement says that there is no room.
    virtual std::unique_ptr<placement_ticket> request_placement(
        policy::placement_query query, placement_handler then) = 0;
};

} // namespace mintknot::relay

#endif
