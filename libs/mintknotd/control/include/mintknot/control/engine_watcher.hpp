/// @file
/// Reads the reports of the engines that this instance watches.
#ifndef MINTKNOT_CONTROL_ENGINE_WATCHER_HPP
#define MINTKNOT_CONTROL_ENGINE_WATCHER_HPP

#include <mintknot/config/change_feed.hpp>
#include <mintknot/control/control_loop.hpp>
#include <mintknot/engine/engine_client.hpp>
#include <mintknot/rpc/peer_client.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

namespace mintknot::control {

struct watcher_options {
    base::milliseconds report_interval{200};
    base::milliseconds orphan_grace{5000};
};

/// What a watcher works with. All must outlive it.
struct watcher_parts {
    const config::change_feed& feed;
    control_loop& control;
    engine::engine_client& engines;
    rpc::peer_client& peers;
    /// @return whether a request of this instance has that attempt.
    std::function<bool(const std::string& attempt)> knows_attempt;
    /// Queues a cancel for an orphaned attempt.
    std::function<void(
        const std::string& engine, const base::address& where,
        const std::string& attempt, const std::string& holder)>
        cancel;
};

/// Each engine has one watcher among the live instances. It passes the load
/// on, and cancels what is held for an instance that is gone, or for one that
/// is alive and does not know the attempt.
///
/// Thread: run() on one thread; engines are read on threads of its own.
class engine_watcher {
public:
    engine_watcher(watcher_parts parts, watcher_options options);
    ~engine_watcher();
    engine_watcher(const engine_watcher&) = delete;
    engine_watcher& operator=(const engine_watcher&) = delete;

    void run(const std::stop_token& stop, const std::function<void()>& alive);

    /// Looks for a request's newest decode stream in the last reports of the
    /// engines that this instance watches.
    std::optional<rpc::found_stream>
    find_stream(const std::string& request) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::control

#endif
