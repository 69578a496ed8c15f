/// @file
/// Requests that wait for room, in the order in which they get it.
#ifndef MINTKNOT_RELAY_WAIT_QUEUE_HPP
#define MINTKNOT_RELAY_WAIT_QUEUE_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/policy/queue_order.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mintknot::relay {

/// Wakes the requests that wait at this instance, best rank first, when room
/// may have been set free. Used on the loop's thread only.
class wait_queue {
public:
    /// Keeps a place in the queue; the place goes with it.
    class ticket {
    public:
        virtual ~ticket() = default;
    };

    explicit wait_queue(event::loop& loop);
    ~wait_queue();
    wait_queue(const wait_queue&) = delete;
    wait_queue& operator=(const wait_queue&) = delete;

    /// Joins the queue of a service.
    /// @param tokens of memory that the request needs.
    /// @param try_again called once, from the loop; the place is given up then.
    std::unique_ptr<ticket> join(
        const std::string& service, const policy::queue_rank& rank,
        double tokens, std::function<void()> try_again);

    /// Room may have been set free somewhere: wakes the queue shortly.
    void room_freed();
    /// Wakes the queue no more often than that from now on: where each try is a
    /// message to another instance.
    void slow_down(base::milliseconds min_wake_gap);

    /// @return the tokens that requests of a better rank wait for.
    double tokens_ahead(
        const std::string& service, const policy::queue_rank& rank) const;
    /// @return the tokens that all wait for, by service.
    std::map<std::string, double> waiting() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
