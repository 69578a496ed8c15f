/// @file
/// The memory that the heap has handed out, for measurements.
#ifndef MINTKNOT_BASE_HEAP_USE_HPP
#define MINTKNOT_BASE_HEAP_USE_HPP

#include <malloc.h>

#include <cstddef>

namespace mintknot::base {

/// @return bytes in use by the whole process.
inline std::size_t heap_in_use() {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace mintknot::base

#endif
