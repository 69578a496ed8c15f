/// @file
/// How far a connection is read ahead of its answers.
#ifndef MINTKNOT_RELAY_PIPELINE_BOUNDS_HPP
#define MINTKNOT_RELAY_PIPELINE_BOUNDS_HPP

#include <cstddef>

namespace mintknot::relay {

/// Maximum number of buffered bytes behind the request that is answered. Beyond
/// it the socket is not read, so that further bytes stay in the kernel.
inline constexpr std::size_t max_pending_bytes = 64 * 1024;
/// Maximum number of bytes of answers that have not been read, before the next
/// request is read.
inline constexpr std::size_t max_unread_bytes = 64 * 1024;

} // namespace mintknot::relay

#endif
