/// @file
/// Whether the end of a connection was the end of the answer on it.
#ifndef MINTKNOT_RELAY_END_CHECK_HPP
#define MINTKNOT_RELAY_END_CHECK_HPP

#include <mintknot/http1/message.hpp>
#include <mintknot/relay/liveness_check.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace mintknot::relay {

/// Finds out whether a server lives after it has closed the connection on which
/// it answered. An answer to any call that was sent to it since shows that, and
/// its own checks are made in case there is none. They wait in the server's
/// queue like requests, so that each stays open until the time is over. Used
/// only on the event loop's thread; destroying it cancels the check.
class end_check {
public:
    /// @param request the health check; nothing for a server that is to get no
    /// calls: whether it accepts a connection is then asked.
    end_check(
        event::loop& owner, upstream::connection_pool& pool,
        upstream::target server, std::optional<http1::request_head> request);

    /// @param then called once, never from within start(); it may destroy the
    /// check. Gets `unknown` if nothing is known within some seconds.
    void start(std::function<void(liveness_verdict)> then);

private:
    void ask();
    void on_verdict(liveness_verdict found);
    void finish(liveness_verdict found);

    event::loop& owner_;
    upstream::connection_pool& pool_;
    upstream::target server_;
    std::optional<http1::request_head> request_;
    std::function<void(liveness_verdict)> then_;
    std::shared_ptr<const upstream::answer_watch> answers_;
    std::vector<std::unique_ptr<liveness_check>> checks_;
    event::timer timer_;
};

} // namespace mintknot::relay

#endif
