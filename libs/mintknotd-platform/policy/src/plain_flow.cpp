#include <mintknot/policy/plain_flow.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// After so long without a rejection a server has no limit.
constexpr std::chrono::seconds limit_lifetime{60};
/// A rejection is known within one of these intervals.
constexpr base::milliseconds held_interval{100};

int held_calls(const plain_flow& flow, base::steady_time now) {
    const auto passed = now - flow.held_since;
    if (passed > 2 * held_interval)
        return 0;
    return std::max(flow.held, passed > held_interval ? 0 : flow.held_before);
}

} // namespace

void note_placed(plain_flow& flow, int in_flight, base::steady_time now) {
    const auto passed = now - flow.held_since;
    if (passed > held_interval) {
        flow.held_before = passed > 2 * held_interval ? 0 : flow.held;
        flow.held = 0;
        flow.held_since = now;
    }
    flow.held = std::max(flow.held, in_flight);
}

void note_rejections(
    plain_flow& flow, std::uint64_t rejections, int slots,
    base::steady_time now) {
    if (rejections == flow.rejections_seen)
        return;
    // The server was replaced: the limit of the old one does not hold.
    if (rejections < flow.rejections_seen) {
        flow = {};
        flow.rejections_seen = rejections;
        return;
    }
    flow.rejections_seen = rejections;
    const int held = held_calls(flow, now);
    if (held < slots)
        return;
    const int known = limit_of(flow, now).value_or(held);
    flow.limit = std::max(slots, std::min(held, known) - 1);
    flow.limited_at = now;
}

std::optional<int> limit_of(const plain_flow& flow, base::steady_time now) {
    const auto since = now - flow.limited_at;
    if (!flow.limit || since > limit_lifetime)
        return std::nullopt;
    return *flow.limit +
           static_cast<int>(
               std::chrono::duration_cast<std::chrono::seconds>(since).count());
}

} // namespace mintknot::policy
