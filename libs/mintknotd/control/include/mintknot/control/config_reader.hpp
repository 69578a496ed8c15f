/// @file
/// Keeps this instance's configuration up to date.
#ifndef MINTKNOT_CONTROL_CONFIG_READER_HPP
#define MINTKNOT_CONTROL_CONFIG_READER_HPP

#include <mintknot/config/change_feed.hpp>
#include <mintknot/config/config_store.hpp>
#include <mintknot/control/control_loop.hpp>
#include <mintknot/rpc/peer_client.hpp>

#include <functional>
#include <memory>
#include <stop_token>

namespace mintknot::control {

/// One instance in each data centre polls the head in the store. All others
/// hear from heartbeats that a peer is ahead, and fetch the changes from it.
/// An instance without any configuration asks the store and its peers.
///
/// Thread: run() on one thread; hurry() from any thread.
class config_reader {
public:
    /// All must outlive the reader.
    config_reader(
        config::change_feed& feed, config::config_store& store,
        const control_loop& control, rpc::peer_client& peers,
        base::milliseconds poll_interval);
    ~config_reader();
    config_reader(const config_reader&) = delete;
    config_reader& operator=(const config_reader&) = delete;

    void run(const std::stop_token& stop, const std::function<void()>& alive);

    /// Reads the store at once, because a change was accepted here.
    void hurry();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::control

#endif
