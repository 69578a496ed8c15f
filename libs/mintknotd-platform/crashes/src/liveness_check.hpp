/// @file
/// Finds out whether a server has ended or has only lost a connection.
#ifndef MINTKNOT_CRASHES_END_CHECK_HPP
#define MINTKNOT_CRASHES_END_CHECK_HPP

#include <mintknot/event/loop.hpp>
#include <mintknot/upstream/call.hpp>

#include <functional>
#include <memory>

namespace mintknot::crashes {

/// What a check has found.
enum class liveness_verdict {
    alive,  ///< It has answered something.
    ended,  ///< Twice nobody listened, or the connection ended at once.
    unknown ///< Silence: it may be cut off.
};

/// Makes a call on a new connection and, where nobody answers it, another one a
/// moment later: a server with too many connections refuses some. Lives on the
/// loop's thread; destroying it ends the check.
class liveness_check {
public:
    liveness_check(
        event::loop& owner, upstream::connection_pool& pool,
        upstream::target server);

    /// @param request any call that a server in use answers at once.
    /// @param then called once, not from within; it may destroy the check.
    void start(
        http1::request_head request,
        std::function<void(liveness_verdict)> then);

private:
    void start_call();
    void on_failure(upstream::call_failure why);
    void finish(liveness_verdict found);

    event::loop& owner_;
    upstream::connection_pool& pool_;
    upstream::target server_;
    http1::request_head request_;
    std::function<void(liveness_verdict)> then_;
    event::timer timer_;
    std::unique_ptr<upstream::call> call_;
    int failures_ = 0;
};

} // namespace mintknot::crashes

#endif
