/// @file
/// The control thread: it owns membership, engine loads and schedulers.
#ifndef MINTKNOT_CONTROL_CONTROL_LOOP_HPP
#define MINTKNOT_CONTROL_CONTROL_LOOP_HPP

#include <mintknot/config/change_feed.hpp>
#include <mintknot/control/cluster_view.hpp>
#include <mintknot/rpc/peer_messages.hpp>

#include <functional>
#include <memory>
#include <stop_token>
#include <string>

namespace mintknot::control {

struct control_options {
    cluster::member self;
    cluster::membership_options membership;
    routing::scheduler_options scheduler;
};

/// Handles one message after another on one thread. Everything else posts
/// messages and reads the published view.
///
/// Lifetime: the feed must outlive the loop. Thread: run() on one thread; all
/// other functions from any thread, without blocking.
class control_loop {
public:
    /// Sends a datagram to a heartbeat address.
    using datagram_sender =
        std::function<void(const base::address&, const std::string&)>;

    control_loop(
        control_options options, const config::change_feed& feed,
        datagram_sender send);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Runs until the stop; calls `alive` at least every 100 ms or so.
    void run(const std::stop_token& stop, const std::function<void()>& alive);

    /// Asks this instance's scheduler of the query's service.
    void place(const routing::place_query& query, rpc::placed_callback done);
    void report(rpc::progress_batch batch);
    /// Takes a received datagram; other bytes than a heartbeat are dropped.
    void take_datagram(std::string_view datagram);
    /// Takes a load that this instance's watcher has read.
    void take_load(cluster::named_load load);
    void set_state(cluster::member_state state);

    std::shared_ptr<const cluster_view> view() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::control

#endif
