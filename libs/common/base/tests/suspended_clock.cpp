#include "suspended_clock.hpp"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

namespace {

std::atomic<std::int64_t> suspended_ns{0};

constexpr std::int64_t ns_per_second = 1000000000;

} // namespace

namespace mintknot::base::tests {

void suspend_for(std::chrono::milliseconds time) {
    suspended_ns += std::chrono::nanoseconds(time).count();
}

} // namespace mintknot::base::tests

/// Stands before that of the C library.
extern "C" int clock_gettime(clockid_t which, timespec* at) noexcept {
    const auto result =
        static_cast<int>(::syscall(SYS_clock_gettime, which, at));
    if (result != 0 || which == CLOCK_MONOTONIC)
        return result;
    const std::int64_t total = at->tv_nsec + suspended_ns.load();
    at->tv_sec += total / ns_per_second;
    at->tv_nsec = total % ns_per_second;
    return result;
}
