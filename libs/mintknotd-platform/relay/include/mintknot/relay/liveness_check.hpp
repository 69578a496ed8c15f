/// @file
/// Checks whether a server has ended or only a connection to it was lost.
#ifndef MINTKNOT_RELAY_LIVENESS_CHECK_HPP
#define MINTKNOT_RELAY_LIVENESS_CHECK_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/upstream/call.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace mintknot::relay {

/// Result of a liveness check.
enum class liveness_verdict {
    alive,  ///< The server has answered, whatever the status but 421.
    ended,  ///< Twice the connection was refused or closed without an answer,
            ///< or another server answers at its address.
    unknown ///< No answer in time, or unreachable: the network may be down.
};

/// The connection of the first call of a liveness check.
enum class first_connection {
    fresh, ///< The call shows whether the server takes a new one.
    any    ///< One that is kept is good enough, and costs the server less.
};

/// Without an answer within this time, the verdict is unknown.
inline constexpr base::milliseconds liveness_timeout{300};

/// Makes a call and, if it fails, a second one on a new connection a moment
/// later, as a server with too many connections refuses some. Used only on the
/// event loop's thread; destroying it cancels the check.
class liveness_check {
public:
    liveness_check(
        event::loop& owner, upstream::connection_pool& pool,
        upstream::target server);
    ~liveness_check();

    /// @param request any request that a live server answers at once; nothing:
    /// the server gets no call, and accepting a connection counts as an answer.
    /// @param first see first_connection.
    /// @param then called once, never from within start(); it may destroy the
    /// check.
    /// @param timeout of each call.
    void start(
        std::optional<http1::request_head> request, first_connection first,
        std::function<void(liveness_verdict)> then,
        base::milliseconds timeout = liveness_timeout);

private:
    void start_attempt(bool on_new_connection);
    void start_call(bool on_new_connection);
    void start_connection();
    void on_connected(upstream::connect_outcome outcome);
    void on_failure(upstream::call_failure why);
    void finish(liveness_verdict found);

    event::loop& owner_;
    upstream::connection_pool& pool_;
    upstream::target server_;
    std::optional<http1::request_head> request_;
    std::function<void(liveness_verdict)> then_;
    base::milliseconds timeout_ = liveness_timeout;
    event::timer timer_;
    std::unique_ptr<upstream::call> call_;
    /// Replaced by each attempt, so that an earlier one is not heard any more.
    std::shared_ptr<bool> attempt_;
    int failures_ = 0;
};

} // namespace mintknot::relay

#endif
