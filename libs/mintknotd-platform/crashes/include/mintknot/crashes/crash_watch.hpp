/// @file
/// Keeps requests that crash servers away from the others, over all instances.
#ifndef MINTKNOT_CRASHES_CRASH_WATCH_HPP
#define MINTKNOT_CRASHES_CRASH_WATCH_HPP

#include <mintknot/relay/crash_guard.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::crashes {

/// How the watch reaches other instances and asks servers.
struct crash_watch_callbacks {
    std::string own_host;
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return hosts that put together what all instances tell
    /// (policy::judges_of_crashes).
    std::function<std::vector<std::string>()> evaluators;
    /// @return hosts of instances that are heard.
    std::function<std::vector<std::string>()> peers;
    /// @return hosts of instances that hear only this one and its like.
    std::function<std::vector<std::string>()> leaf_hosts;
    /// @return what to ask a server for to see whether it is there; nothing: it
    /// has gone.
    std::function<std::optional<relay::health_check>(const std::string& id)>
        health_check_for;
};

/// Where calls break, asks the server whether it is still there; where it is
/// not, tells the evaluators what ran there. Blocks requests by the rule of
/// policy/crash_evidence.hpp, tells all others of blocks at once, and a few of
/// them now and then while there are any, so that restarted instances and those
/// that come back from behind a cut learn of them. Sends nothing while no
/// server crashes. Nothing is stored: a restart of all forgets everything.
///
/// Lives on the loop's thread. Everything that is passed in must outlive it.
class crash_watch final : public relay::crash_guard {
public:
    crash_watch(relay::router_context& router, crash_watch_callbacks ports);
    ~crash_watch() override;
    crash_watch(const crash_watch&) = delete;
    crash_watch& operator=(const crash_watch&) = delete;

    std::optional<base::milliseconds>
    blocked_for(const relay::request_identity& request) const override;
    void call_broke(
        const relay::request_identity& request, const std::string& server_id,
        base::milliseconds ran_for) override;
    void answered(const relay::request_identity& request) override;

    /// The row of a server has gone, or tells of another life of it.
    void server_replaced(const std::string& server_id);

    /// @return false if the datagram is about something else.
    bool receive(const std::string& host, std::string_view datagram);

    /// Requests that are refused now, and servers that have ended under
    /// requests of this instance since the start; for metrics.
    std::size_t blocked() const;
    std::size_t servers_ended() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::crashes

#endif
