#include <mintknot/policy/loop_delay.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

/// Samples of this time count, and always the last ones.
constexpr base::milliseconds recent_time{60};
constexpr std::size_t min_samples = 2;

} // namespace

void note_sample(loop_delay& delay, const delay_sample& sample) {
    delay.recent.push_back(sample);
    const auto has_old = [&delay, &sample] {
        return delay.recent.size() > min_samples &&
               sample.at - delay.recent.front().at > recent_time;
    };
    while (has_old())
        delay.recent.erase(delay.recent.begin());
    if (delay.recent.size() < min_samples) {
        delay.standing = base::microseconds{0};
        return;
    }
    delay.standing =
        std::min_element(
            delay.recent.begin(), delay.recent.end(),
            [](const delay_sample& left, const delay_sample& right) {
                return left.delay < right.delay;
            })
            ->delay;
}

} // namespace mintknot::policy
