/// @file
/// What becomes of large blocks of memory that are freed.
#ifndef MINTKNOT_BASE_LARGE_BLOCKS_HPP
#define MINTKNOT_BASE_LARGE_BLOCKS_HPP

#include <malloc.h>

namespace mintknot::base {

/// Blocks from this size on go back to the system when they are freed.
inline constexpr int large_block_bytes = 128 * 1024;

/// Keeps the C library from raising that size to the largest block that was
/// freed, after which such blocks stay with the process, once for each thread.
/// To be called before threads start.
inline void return_large_blocks() noexcept {
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

} // namespace mintknot::base

#endif
