#include <mintknot/policy/caller_memory.hpp>

#include <chrono>
#include <cmath>

namespace mintknot::policy {

namespace {

/// Within which the weight of moved bytes falls to 1/e.
constexpr std::chrono::duration<double> recent_time{1.0};
/// A transfer that has moved this many times what it has moved lately stalls.
constexpr double stalled_ratio = 10.0;

double
recent_bytes_at(const transfer_progress& progress, base::steady_time now) {
    const std::chrono::duration<double> passed = now - progress.updated;
    return progress.recent_bytes * std::exp(-(passed / recent_time));
}

} // namespace

bool needs_large_receive_buffer(std::size_t own) {
    return own > connection_bytes + receive_buffer_bytes / 2;
}

void note_transfer(
    transfer_progress& progress, std::size_t bytes, base::steady_time now) {
    progress.recent_bytes =
        recent_bytes_at(progress, now) + static_cast<double>(bytes);
    progress.bytes += bytes;
    progress.updated = now;
}

bool is_stalled(const transfer_progress& progress, base::steady_time now) {
    return static_cast<double>(progress.bytes) >
           stalled_ratio * recent_bytes_at(progress, now);
}

std::optional<std::size_t> choose_to_give_way(
    std::span<const held_connection> connections, base::steady_time now) {
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (!is_stalled(connections[i].progress, now))
            continue;
        if (!chosen ||
            connections[i].held_bytes > connections[*chosen].held_bytes)
            chosen = i;
    }
    return chosen;
}

} // namespace mintknot::policy
