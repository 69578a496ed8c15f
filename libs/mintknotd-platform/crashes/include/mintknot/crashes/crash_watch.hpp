/// @file
/// Detects requests that crash servers and blocks them on all instances.
#ifndef MINTKNOT_CRASHES_CRASH_WATCH_HPP
#define MINTKNOT_CRASHES_CRASH_WATCH_HPP

#include <mintknot/policy/server_liveness.hpp>
#include <mintknot/relay/crash_guard.hpp>
#include <mintknot/relay/router_state.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mintknot::crashes {

/// Callbacks through which crash_watch reaches other instances and checks
/// servers.
struct crash_watch_callbacks {
    std::string own_host;
    std::function<void(const std::string& host, const std::string& datagram)>
        send;
    /// @return hosts that combine the crash reports of all instances and decide
    /// which requests are blocked (policy/group.hpp).
    std::function<std::vector<std::string>()> evaluators;
    /// @return hosts of the instances whose heartbeats are received.
    std::function<std::vector<std::string>()> peers;
    /// @return hosts of the leaves, which receive datagrams only from
    /// super-peers; empty unless this instance is a super-peer.
    std::function<std::vector<std::string>()> leaf_hosts;
    /// @return the health check to make at a server; nullopt if the server has
    /// been removed.
    std::function<std::optional<relay::health_check>(const std::string& id)>
        health_check_for;
};

/// When a call breaks, checks whether its server is still alive; if it is not,
/// reports the requests that ran there to the evaluators. Blocks requests by
/// the rules of policy/crash_evidence.hpp, and parts of prompts by those of
/// policy/part_evidence.hpp. A new block is announced to all
/// instances at once. While there are blocks, they are resent to a few
/// instances periodically, so that instances that restart or return from a
/// network partition learn of them. Sends nothing while no server crashes.
/// Nothing is stored: if all instances restart, the blocks are lost.
///
/// Used only on the event loop's thread. The router and everything that the
/// callbacks refer to must outlive it.
class crash_watch final : public relay::crash_guard {
public:
    crash_watch(relay::router_context& router, crash_watch_callbacks ports);
    ~crash_watch() override;
    crash_watch(const crash_watch&) = delete;
    crash_watch& operator=(const crash_watch&) = delete;

    std::optional<relay::crash_block>
    find_block(const relay::request_identity& request) const override;
    void report_broken_call(
        const relay::request_identity& request,
        const relay::broken_call& call) override;
    void report_sound(const relay::request_identity& request) override;
    void report_answer(const relay::request_identity& request) override;

    /// To be called when this process runs again after a suspension, and with
    /// the begin of time at its start: runs on servers that may have ended
    /// meanwhile are not held against their requests.
    void note_interruption(const policy::interruption& gap);

    /// To be called when the row of a server was removed or shows a new
    /// incarnation.
    void server_replaced(const std::string& server_id);

    /// @return false if the datagram is not a crash message.
    bool receive(const std::string& host, std::string_view datagram);

    /// For metrics: the number of requests and of parts of prompts that are
    /// blocked now, and of servers that have ended while running requests of
    /// this instance since its start.
    std::size_t blocked() const;
    std::size_t blocked_parts() const;
    std::size_t servers_ended() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::crashes

#endif
