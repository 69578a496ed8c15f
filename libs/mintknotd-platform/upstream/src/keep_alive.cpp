#include "keep_alive.hpp"

#include <mintknot/upstream/connection_pool.hpp>

#include <algorithm>
#include <cstdlib>

namespace mintknot::upstream {

namespace {

/// Distance kept from the end of the time that a server names.
constexpr base::milliseconds idle_margin{700};
constexpr base::milliseconds shortest_named_idle{250};

} // namespace

base::milliseconds idle_time(const http1::response_head& head) {
    const std::string* text = http1::find_field(head.fields, "Keep-Alive");
    if (text == nullptr)
        return default_idle_time;
    const std::size_t start = text->find("timeout=");
    if (start == std::string::npos)
        return default_idle_time;
    const int named = std::atoi(text->c_str() + start + 8);
    const base::milliseconds whole = std::chrono::seconds(named);
    if (whole <= base::milliseconds{0})
        return base::milliseconds{0};
    return std::min(
        default_idle_time, std::max(shortest_named_idle, whole - idle_margin));
}

} // namespace mintknot::upstream
