/// @file
/// One call to a backend server.
#ifndef MINTKNOT_UPSTREAM_CALL_HPP
#define MINTKNOT_UPSTREAM_CALL_HPP

#include <mintknot/http1/message.hpp>
#include <mintknot/upstream/connection_pool.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace mintknot::upstream {

/// Why a call got no whole answer.
enum class call_failure {
    unreachable, ///< No connection came up: nothing was sent.
    refused,     ///< The same; the machine says that nothing listens there.
    ended,       ///< The connection ended before the answer was whole.
    bad_answer,  ///< What came is no answer to this call.
};

/// @return true if no byte of the call has gone out.
bool nothing_was_sent(call_failure why) noexcept;

/// @return the name of the reason in log lines.
std::string_view to_string(call_failure why) noexcept;

/// What a call tells its owner. At most one of on_done and on_failure is
/// called, and nothing after it.
struct call_handlers {
    /// Whether an answer belongs to this call; one that does not is skipped,
    /// and the next one is waited for. Optional.
    std::function<bool(const http1::response_head&)> belongs;
    std::function<void(http1::response_head&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_done;
    std::function<void(call_failure)> on_failure;
};

/// The parts of a request, ready to be sent.
struct call_request {
    http1::request_head head;
    std::shared_ptr<const std::string> body; ///< Null: none.
};

/// Bounds of a call.
struct call_options {
    base::milliseconds connect_timeout{200};
    std::size_t answer_header_bytes = 32 * 1024;
    /// A longer body fails the call. Whoever keeps the whole body sets a bound.
    std::uint64_t answer_body_bytes = std::numeric_limits<std::uint64_t>::max();
    /// Whether an idle connection is not good enough: the call is to show
    /// whether the server takes a new one.
    bool on_new_connection = false;
};

/// Lifetime: held by its owner; destroying it cancels the call. Handlers are
/// called from the loop, never from within start().
class call {
public:
    /// Sends the request on an idle connection or a new one.
    static std::unique_ptr<call> start(
        connection_pool& pool, const target& where, call_request request,
        const call_options& options, call_handlers handlers);

    ~call();
    call(const call&) = delete;
    call& operator=(const call&) = delete;

    /// Stops reading the answer, or goes on.
    void pause();
    void resume();
    /// @return true once the first byte may have gone out.
    bool sent() const noexcept;

private:
    struct impl;
    explicit call(std::shared_ptr<impl> state);
    std::shared_ptr<impl> impl_;
};

} // namespace mintknot::upstream

#endif
