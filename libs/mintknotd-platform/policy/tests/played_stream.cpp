#include "played_stream.hpp"

#include <algorithm>

namespace mintknot::policy::tests {

namespace {

constexpr milliseconds bucket{50};

double size_after(const stream& one, std::size_t buckets) {
    const double events = static_cast<double>(buckets + 1) *
                          std::chrono::duration<double>(bucket) /
                          std::chrono::duration<double, std::milli>(event_time);
    return one.prompt + 16.0 + event_tokens * std::min(events, one.length);
}

} // namespace

std::string known_memory::place(
    const stream& one, base::steady_time begins,
    const std::vector<std::string>& engines) {
    const auto first = static_cast<std::size_t>((begins - begin) / bucket);
    const auto buckets = static_cast<std::size_t>(
        std::ceil(
            one.length * std::chrono::duration<double>(event_time) / bucket) +
        1);
    double fullest = 0.0;
    std::string chosen;
    for (const std::string& id : engines) {
        std::vector<double>& held = held_[id];
        held.resize(static_cast<std::size_t>(
            (duration + std::chrono::seconds(10)) / bucket));
        double peak = 0.0;
        for (std::size_t i = 0; i < buckets; ++i)
            peak = std::max(peak, held[first + i] + size_after(one, i));
        if (peak <= engine_tokens && peak > fullest) {
            fullest = peak;
            chosen = id;
        }
    }
    for (std::size_t i = 0; !chosen.empty() && i < buckets; ++i)
        held_[chosen][first + i] += size_after(one, i);
    return chosen;
}

} // namespace mintknot::policy::tests
