#include <mintknot/base/time.hpp>

#include <ctime>

namespace mintknot::base {

steady_clock::time_point steady_clock::now() noexcept {
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(
        std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec));
}

} // namespace mintknot::base
