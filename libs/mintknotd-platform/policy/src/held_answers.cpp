#include <mintknot/policy/held_answers.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Far beyond what a token takes, with the other lines of its event.
constexpr double bytes_per_token = 1024.0;
constexpr std::size_t min_event_bound = 64 * 1024;
constexpr std::size_t max_event_bound = 4 * 1024 * 1024;

/// Less would stop servers while their bytes are on the way.
constexpr std::size_t min_unsent_bound = 8 * 1024;
constexpr std::size_t max_unsent_bound = 128 * 1024;

} // namespace

std::size_t max_event_bytes(double max_output_tokens) {
    const double bytes = max_output_tokens * bytes_per_token;
    if (!(bytes > 0.0) || bytes >= static_cast<double>(max_event_bound))
        return max_event_bound;
    return std::max(min_event_bound, static_cast<std::size_t>(bytes));
}

bool may_hold(
    std::size_t own, const held_answers& others, std::size_t max_bytes) {
    return own + others.bytes <= max_bytes ||
           own <= max_bytes / (others.answers + 1);
}

std::size_t max_unsent_bytes(std::size_t answers, std::size_t max_bytes) {
    return std::clamp(
        max_bytes / std::max<std::size_t>(answers, 1), min_unsent_bound,
        max_unsent_bound);
}

} // namespace mintknot::policy
