/// @file
/// Idle connections to backend servers, kept for their next call.
#ifndef MINTKNOT_UPSTREAM_CONNECTION_POOL_HPP
#define MINTKNOT_UPSTREAM_CONNECTION_POOL_HPP

#include <mintknot/base/time.hpp>
#include <mintknot/event/connection.hpp>
#include <mintknot/event/loop.hpp>
#include <mintknot/http1/message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mintknot::upstream {

/// One backend server. Connections are pooled by ID, never by address: an
/// address may pass on to another server.
struct target {
    std::string id;
    base::address where;
    std::string request; ///< ID of the request, for log lines; may be empty.
    /// Whether a new connection must be this process's own, not one through a
    /// peer: the server is to know from whom a call comes.
    bool directly = false;
};

/// The result of an attempt to connect to a server.
struct connect_outcome {
    event::connection_ptr link; ///< Null: it did not come up.
    event::connect_result result = event::connect_result::unreachable;
    /// The connection leads through a peer; it is used for one call only.
    bool tunnelled = false;
};

using connect_handler = std::function<void(connect_outcome)>;

/// Opens a new connection to a server. The handler is called once, within the
/// timeout, and not from within the call.
using connect_function = std::function<void(
    const target& where, base::milliseconds timeout, connect_handler on_done)>;

/// How long an unused connection is kept whose server names no time.
inline constexpr base::milliseconds default_idle_time{12000};

/// Counters since the start of the process.
struct pool_counters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    std::uint64_t failed = 0;  ///< Connections that did not come up.
    std::uint64_t refused = 0; ///< Of these, those that were refused.
};

/// Waits for an answer of a server; see connection_pool::watch_answers().
struct answer_watch {
    base::steady_time since; ///< The call must have been sent later.
    std::function<void()> then;
};

/// Keeps idle connections. One that ends or says anything while it is idle is
/// dropped: bytes that nobody asked for belong to no request.
class connection_pool {
public:
    /// @param open opens new connections; empty: directly.
    explicit connection_pool(event::loop& owner, connect_function open = {});
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Opens a new connection.
    void connect(
        const target& where, base::milliseconds timeout,
        connect_handler on_done);

    /// @return an idle connection that has not been started, or null. The
    /// caller must attach its own handlers with connection::set_handlers.
    event::connection_ptr take(const std::string& id);

    /// Keeps a connection for at most `idle_for`.
    void give(
        const std::string& id, event::connection_ptr connection,
        base::milliseconds idle_for);

    /// Closes the idle connections to a server and forgets when it was heard.
    void drop(const std::string& id);

    /// Has the head of every answer to a call told, before the call's owner
    /// gets it. At most one observer.
    void observe_answers(
        std::function<
            void(const std::string& id, const http1::response_head& head)>
            observer);
    /// Tells the observer.
    void tell_answer(const std::string& id, const http1::response_head& head);

    /// Notes that a server has just sent something on a call's connection.
    void note_heard(const std::string& id);
    /// @return when a server has last sent something on a call's connection;
    /// empty if it has not within the last seconds, or was dropped since.
    std::optional<base::steady_time> last_heard(const std::string& id) const;

    /// Notes that a server has answered a call that was sent to it then.
    void note_answered(const std::string& id, base::steady_time sent);
    /// Has the next answer of a server told that belongs to a call sent from
    /// now on: the server has lived until it read that call.
    /// @param then called at most once, from the loop, and not after the result
    /// was destroyed.
    std::shared_ptr<const answer_watch>
    watch_answers(const std::string& id, std::function<void()> then);

    /// @return servers with idle connections, in no order.
    std::vector<std::string> idle_servers() const;
    std::size_t idle(const std::string& id) const;
    std::size_t idle_total() const noexcept;
    pool_counters& counters() noexcept;
    event::loop& owner() noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mintknot::upstream

#endif
