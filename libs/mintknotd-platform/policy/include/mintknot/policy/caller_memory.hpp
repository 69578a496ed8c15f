/// @file
/// How much the connections of callers may hold together, and which of them
/// give way to others.
///
/// Inputs: what each connection holds (bytes that are not parsed yet, a body,
/// answers that the caller has not read) and what it has moved lately. Asked
/// wherever a connection grows. Keeps callers that send much and never come to
/// an end from filling the memory of the instance, or from taking up all its
/// connections. A request that gives way has not run. Log events: `refused`
/// with `memory_full`, `gave_way`.
#ifndef MINTKNOT_POLICY_CALLER_MEMORY_HPP
#define MINTKNOT_POLICY_CALLER_MEMORY_HPP

#include <mintknot/base/request_memory.hpp>
#include <mintknot/base/time.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace mintknot::policy {

/// What a connection costs beside the bytes that it holds.
inline constexpr std::size_t connection_bytes = 2 * 1024;

/// What the system keeps, of each connection, of bytes that have arrived and
/// are not read yet. The larger one is for connections on which more of a
/// request has come than the smaller one holds, and counts as held by them.
inline constexpr std::size_t receive_buffer_bytes = 16 * 1024;
inline constexpr std::size_t large_receive_buffer_bytes = 64 * 1024;

/// Whether a connection may hold so much; asked with what all hold.
using base::has_room;
using base::max_small_request_bytes;

/// @return true if a connection that holds `own` bytes gets the larger buffer.
bool needs_large_receive_buffer(std::size_t own);

/// What has been moved on a connection for one request, or for answers that its
/// caller has not read yet.
struct transfer_progress {
    std::size_t bytes = 0;
    double recent_bytes = 0.0; ///< Weighted down with their age.
    base::steady_time updated{};
};

void note_transfer(
    transfer_progress& progress, std::size_t bytes, base::steady_time now);

/// @return true if little has been moved lately beside what was moved in all:
/// two seconds after a transfer has come to a stop, or if one takes more than
/// some ten seconds.
bool is_stalled(const transfer_progress& progress, base::steady_time now);

/// A connection that can be ended, as its request has not run or its answer has
/// been written.
struct held_connection {
    std::size_t held_bytes = 0;
    transfer_progress progress;
};

/// @return the connection that gives way to others: of those that are stalled,
/// the one that holds most; nullopt if none is.
std::optional<std::size_t> choose_to_give_way(
    std::span<const held_connection> connections, base::steady_time now);

} // namespace mintknot::policy

#endif
