#include <mintknot/policy/engine_needs.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Part of the expected output that is reserved; see memory_needed().
constexpr double reserved_output_share = 0.6;
/// Part of the largest output that is expected where the caller does not say.
constexpr double unsaid_output_share = 0.5;

} // namespace

double memory_needed(const request_size& size) {
    const double expected = std::min(
        size.max_output,
        size.expected_output.value_or(size.max_output * unsaid_output_share));
    return size.prompt + reserved_output_share * expected;
}

base::milliseconds prefill_time_limit(
    base::milliseconds target, base::milliseconds waited,
    base::milliseconds hand_over) {
    const base::milliseconds left = target - waited - hand_over;
    // What is late in any case need not slow a decode engine down.
    return left > base::milliseconds{0} ? left : target;
}

} // namespace mintknot::policy
