#include <mintknot/policy/standing_delay.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Older samples tell nothing of the present.
constexpr base::milliseconds max_age{1000};

bool is_shorter(const delay_sample& left, const delay_sample& right) {
    return left.delay < right.delay;
}

} // namespace

void note_sample(
    delay_samples& samples, const delay_sample& latest,
    const delay_window& window) {
    std::vector<delay_sample>& recent = samples.recent;
    recent.push_back(latest);
    const auto first_kept = std::find_if(
        recent.begin(), recent.end(), [&](const delay_sample& sample) {
            const auto age = latest.at - sample.at;
            const auto left =
                static_cast<std::size_t>(&recent.back() - &sample) + 1;
            return age <= window.length ||
                   (age <= max_age && left <= window.min_samples);
        });
    recent.erase(recent.begin(), first_kept);
}

std::optional<base::microseconds> standing_delay(
    const delay_samples& samples, const delay_window& window,
    base::steady_time now) {
    const auto first = std::find_if(
        samples.recent.begin(), samples.recent.end(),
        [now](const delay_sample& sample) {
            return now - sample.at <= max_age;
        });
    const auto count = static_cast<std::size_t>(samples.recent.end() - first);
    if (count < window.min_samples)
        return std::nullopt;
    return std::min_element(first, samples.recent.end(), is_shorter)->delay;
}

} // namespace mintknot::policy
