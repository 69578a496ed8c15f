/// @file
/// Connections of callers that have been closed, and are not gone yet.
#ifndef MINTKNOT_RELAY_CLOSING_CONNECTIONS_HPP
#define MINTKNOT_RELAY_CLOSING_CONNECTIONS_HPP

#include "memory_claim.hpp"

#include <mintknot/event/connection.hpp>
#include <mintknot/policy/caller_memory.hpp>

#include <vector>

namespace mintknot::relay {

/// A closed connection still takes a descriptor, and memory for what its caller
/// has not read, until the caller has read it or its time is over.
class closing_connections {
public:
    /// @param account of what connections of callers hold; must outlive this.
    explicit closing_connections(std::size_t& account) noexcept
        : account_(account) {}

    /// Adds a connection unless it is gone already.
    void add(const event::connection_ptr& link, base::steady_time now);
    /// @return how many are not gone yet.
    std::size_t count();
    /// Ends the one that was closed first. @return false if there is none.
    bool end_longest();
    /// Ends the one whose caller has stopped reading and that holds most.
    /// @return false if there is none.
    bool end_unread(base::steady_time now);

private:
    struct entry {
        std::weak_ptr<event::connection> link;
        memory_claim claim;
        policy::transfer_progress progress;
    };

    void refresh();
    void end(std::size_t index);

    std::size_t& account_;
    std::vector<entry> entries_; ///< In the order in which they were closed.
};

} // namespace mintknot::relay

#endif
