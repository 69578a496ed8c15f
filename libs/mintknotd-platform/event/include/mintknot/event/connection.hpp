/// @file
/// A TCP connection on the event loop.
#ifndef MINTKNOT_EVENT_CONNECTION_HPP
#define MINTKNOT_EVENT_CONNECTION_HPP

#include <mintknot/base/address.hpp>
#include <mintknot/event/loop.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mintknot::event {

struct write_piece;

/// How the other side ended a connection.
enum class connection_end {
    orderly, ///< It has sent everything that it wanted to send.
    broken,  ///< Reset, unreachable or silent for too long.
};

/// What a connection tells its owner. Handlers run on the loop and never from
/// within a call to the connection.
struct connection_handlers {
    std::function<void(std::string_view bytes)> on_data;
    /// At most once, after the last on_data. Nothing is called later.
    std::function<void(connection_end)> on_end;
    /// The write queue has become empty after it had grown. Optional.
    std::function<void()> on_drained;
};

/// Reads are always pending unless paused, so that the other side's leaving
/// is noticed at once. Writes are queued without a bound: the owner looks at
/// queued_bytes() and stops producing.
///
/// Lifetime: held by shared_ptr; after close() or reset() no handler runs.
class connection : public std::enable_shared_from_this<connection> {
public:
    struct impl;
    explicit connection(std::unique_ptr<impl> state);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Begins to read, or hands the connection to another owner.
    void set_handlers(connection_handlers handlers);

    /// @return false once its descriptor is free.
    bool is_open() const noexcept;

    void write(std::string bytes);
    /// Like write(std::string), without a copy of its own.
    void write(std::shared_ptr<const std::string> bytes);
    std::size_t queued_bytes() const noexcept;
    /// @return true if everything written has been handed to the system.
    bool wrote_everything() const noexcept;

    void pause_reading();
    void resume_reading();
    /// Bounds what the system keeps of what has arrived and is not read yet.
    void set_receive_buffer(std::size_t bytes);

    /// Closes once everything queued has been handed to the system; then
    /// waits a moment for the other side, so that unread bytes cannot turn
    /// the close into a reset.
    void close();
    /// Closes at once, dropping what is queued. The other side sees a reset
    /// if it has sent bytes that were not read.
    void abort();
    /// Closes at once with a reset, so that what was sent cannot be taken
    /// for a whole message.
    void reset();

    /// Says that the other side takes an orderly end for the end of a message
    /// that is still being sent. From now on only close() ends the connection
    /// in an orderly way, once all that is queued has been handed to the
    /// system. Every other end resets it, that of the process included.
    void reset_unless_closed();

    /// @return the address of the other side.
    const base::address& peer() const noexcept;

private:
    void read_next();
    void on_readable();
    void enqueue(write_piece piece);
    void write_next();
    void finish(connection_end how);
    void linger();
    void drop_handlers();
    void abort_after(base::milliseconds delay);

    std::unique_ptr<impl> impl_;
};

using connection_ptr = std::shared_ptr<connection>;

/// What became of an attempt to connect.
enum class connect_result {
    opened,
    refused,    ///< The machine answers that nothing listens there.
    unreachable ///< No answer in time, or no way there.
};

/// Opens a connection. The handler gets null unless it was opened in time.
/// The attempt cannot be taken back; drop the connection if it comes late.
void connect(
    loop& owner, const base::address& where, base::milliseconds timeout,
    std::function<void(connection_ptr, connect_result)> on_done);

} // namespace mintknot::event

#endif
