/// @file
/// The queue of requests that wait for free capacity of servers.
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

/// Wakes the requests that wait at this instance, best rank first, when
/// capacity may have been freed. Used only on the event loop's thread.
class wait_queue {
public:
    /// Holds a place in the queue; destroying it gives the place up.
    class ticket {
    public:
        virtual ~ticket() = default;
    };

    explicit wait_queue(event::loop& loop);
    ~wait_queue();
    wait_queue(const wait_queue&) = delete;
    wait_queue& operator=(const wait_queue&) = delete;

    /// Adds a request to the queue of a service.
    /// @param tokens memory that the request needs, in tokens.
    /// @param try_again called at most once, from the event loop; the request
    /// has left the queue by then.
    std::unique_ptr<ticket> join(
        const std::string& service, const policy::queue_rank& rank,
        double tokens, std::function<void()> try_again);

    /// Called when capacity may have been freed; wakes the queue soon.
    void notify_capacity_freed();
    /// Sets the minimum time between two wake-ups of the queue. Used where each
    /// attempt sends a message to another instance.
    void set_min_wake_interval(base::milliseconds min_wake_gap);

    /// @return the tokens that requests of a better rank in the service's queue
    /// wait for.
    double tokens_ahead(
        const std::string& service, const policy::queue_rank& rank) const;
    /// @return the tokens that all queued requests wait for, by service.
    std::map<std::string, double> waiting_tokens() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::relay

#endif
