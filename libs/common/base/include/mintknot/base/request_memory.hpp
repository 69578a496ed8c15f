/// @file
/// The rule by which both daemons bound what requests hold together.
#ifndef MINTKNOT_BASE_REQUEST_MEMORY_HPP
#define MINTKNOT_BASE_REQUEST_MEMORY_HPP

#include <cstddef>

namespace mintknot::base {

/// A request that holds more than this is large.
inline constexpr std::size_t max_small_request_bytes = 64 * 1024;

/// @return true if a request may hold `own` bytes. A quarter of the whole is
/// left to small requests, so that they have room beside large ones.
/// @param all what all requests hold, with `own`.
bool has_room(std::size_t own, std::size_t all, std::size_t max_bytes) noexcept;

} // namespace mintknot::base

#endif
