#include <mintknot/policy/prefill_rates.hpp>

#include <algorithm>
#include <vector>

namespace mintknot::policy {

namespace {

/// Weight of a new observation.
constexpr double learning_rate = 0.2;
/// Tokens per millisecond of an engine while too few rates are known.
constexpr double default_rate = 20.0;
/// In tokens per millisecond; avoids a division by zero.
constexpr double min_rate = 0.1;
constexpr std::size_t min_known_rates = 2;

} // namespace

void note_prefill(
    prefill_rates& rates, const std::string& id, double tokens,
    base::milliseconds took) {
    if (tokens <= 0.0 || took <= base::milliseconds{0})
        return;
    note_prefill_rate(rates, id, tokens / static_cast<double>(took.count()));
    rates.unreported.insert(id);
}

void note_prefill_rate(
    prefill_rates& rates, const std::string& id, double rate) {
    const auto [entry, fresh] = rates.by_id.emplace(id, rate);
    if (!fresh)
        entry->second += learning_rate * (rate - entry->second);
}

void forget(prefill_rates& rates, const std::string& id) {
    rates.by_id.erase(id);
    rates.unreported.erase(id);
}

namespace {

double median_rate(const prefill_rates& rates) {
    if (rates.by_id.size() < min_known_rates)
        return default_rate;
    std::vector<double> sorted;
    for (const auto& [id, rate] : rates.by_id)
        sorted.push_back(rate);
    const auto middle =
        sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace

double prefill_rate_of(const prefill_rates& rates, const std::string& id) {
    const auto found = rates.by_id.find(id);
    const double rate =
        found == rates.by_id.end() ? median_rate(rates) : found->second;
    return std::max(rate, min_rate);
}

base::milliseconds
prefill_time(const prefill_rates& rates, const std::string& id, double tokens) {
    return base::milliseconds(
        static_cast<std::int64_t>(tokens / prefill_rate_of(rates, id)));
}

} // namespace mintknot::policy
