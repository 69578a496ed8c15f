#include <mintknot/base/request_memory.hpp>

namespace mintknot::base {

namespace {

/// Of four parts of the whole, large requests may take three.
constexpr std::size_t parts = 4;
constexpr std::size_t parts_for_large_requests = 3;

} // namespace

bool has_room(
    std::size_t own, std::size_t all, std::size_t max_bytes) noexcept {
    if (own <= max_small_request_bytes)
        return all <= max_bytes;
    return all <= max_bytes / parts * parts_for_large_requests;
}

} // namespace mintknot::base
