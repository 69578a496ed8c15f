#include <mintknot/policy/engine_needs.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Share of the expected output that is reserved; see memory_needed().
constexpr double reserved_output_share = 0.6;
/// Share of the maximum output that is expected if the caller gives no
/// estimate.
constexpr double default_output_share = 0.5;

} // namespace

double expected_output(const request_size& size) {
    return std::min(
        size.max_output,
        size.expected_output.value_or(size.max_output * default_output_share));
}

double memory_needed(const request_size& size) {
    return size.prompt + reserved_output_share * expected_output(size);
}

base::milliseconds prefill_time_limit(
    base::milliseconds target, base::milliseconds waited,
    base::milliseconds hand_over) {
    const base::milliseconds left = target - waited - hand_over;
    // A request that is late anyway need not slow down a decode engine.
    return left > base::milliseconds{0} ? left : target;
}

} // namespace mintknot::policy
