#include <mintknot/policy/usage_window.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

constexpr auto step_slots = static_cast<std::int64_t>(usage_window::steps);
constexpr auto steps_per_window =
    static_cast<std::int64_t>(usage_window::steps_in_window);

std::int64_t step_of(const retry_bounds& bounds, base::steady_time now) {
    const std::int64_t length =
        std::max<std::int64_t>(1, bounds.window.count() / steps_per_window);
    const auto passed =
        std::chrono::duration_cast<base::milliseconds>(now.time_since_epoch());
    return passed.count() / length;
}

retry_usage& at(usage_window& window, std::int64_t step) {
    return window.counts[static_cast<std::size_t>(step % step_slots)];
}

void add(retry_usage& sum, const retry_usage& step) {
    sum.requests += step.requests;
    sum.retries += step.retries;
}

} // namespace

retry_usage& current_counts(
    usage_window& window, const retry_bounds& bounds, base::steady_time now) {
    const std::int64_t step = step_of(bounds, now);
    // The window length has been reconfigured, so step numbers start again.
    if (step < window.newest_step - step_slots)
        window = {};
    const std::int64_t oldest = step - step_slots + 1;
    for (std::int64_t next = std::max(window.newest_step + 1, oldest);
         next <= step; ++next)
        at(window, next) = {};
    window.newest_step = std::max(window.newest_step, step);
    return at(window, step);
}

window_sums sums(
    const usage_window& window, const retry_bounds& bounds,
    base::steady_time now) {
    usage_window copy = window;
    current_counts(copy, bounds, now);
    const std::int64_t oldest = copy.newest_step - step_slots + 1;
    window_sums result;
    for (std::int64_t step = oldest; step <= copy.newest_step; ++step) {
        add(result.all_steps, at(copy, step));
        if (step > oldest)
            add(result.complete_steps, at(copy, step));
    }
    return result;
}

} // namespace mintknot::policy
