#include "request_room.hpp"

#include <mintknot/base/request_memory.hpp>

namespace mintknot::net {

namespace {

constexpr base::milliseconds longest_silence{2000};
constexpr base::milliseconds longest_age{10000};
/// A connection that a thread has been started for waits less.
constexpr base::milliseconds usual_wait{100};
/// How long a refusal says that there is no room.
constexpr base::milliseconds shortage_time{5000};

} // namespace

bool gives_way(const request_progress& progress) {
    return progress.silent >= longest_silence || progress.age >= longest_age;
}

bool request_room::take(
    std::size_t held, std::size_t more, base::steady_time now) {
    const std::size_t all = held_.fetch_add(more) + more;
    if (base::has_room(held + more, all, most_bytes_))
        return true;
    held_ -= more;
    last_refusal_ = now;
    return false;
}

void request_room::connection_waits(base::steady_time now) {
    if (waiting_.fetch_add(1) == 0)
        waiting_since_ = now;
}

bool request_room::connections_wait(base::steady_time now) const {
    return waiting_ > 0 && now - waiting_since_.load() >= usual_wait;
}

bool request_room::is_short(base::steady_time now) const {
    const base::steady_time last = last_refusal_;
    return connections_wait(now) ||
           (last != base::steady_time::min() && now - last < shortage_time);
}

} // namespace mintknot::net
