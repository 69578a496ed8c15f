/// @file
/// The connections of a crowd.
#ifndef MINTKNOT_CROWDS_CROWD_CLIENTS_HPP
#define MINTKNOT_CROWDS_CROWD_CLIENTS_HPP

#include "crowd_plan.hpp"

#include <mintknot/base/address.hpp>
#include <mintknot/event/loop.hpp>

#include <cstddef>
#include <memory>

namespace mintknot::crowds {

/// Sends what a plan says, each client as fast as the other side reads.
///
/// Lifetime: the loop must outlive it. All connections end with it.
class crowd_clients {
public:
    crowd_clients(
        event::loop& owner, const base::address& where, crowd_plan plan);
    ~crowd_clients();
    crowd_clients(const crowd_clients&) = delete;
    crowd_clients& operator=(const crowd_clients&) = delete;

    void start();
    /// @return true if each client has sent all that it has to send, or has
    /// been turned away.
    bool all_done() const;
    /// @return the bytes that all clients have handed to the system.
    std::size_t sent_bytes() const;
    /// @return the number of connections that the other side has not ended.
    std::size_t open() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::crowds

#endif
