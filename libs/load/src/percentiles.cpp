#include <mintknot/load/percentiles.hpp>

#include <algorithm>
#include <cmath>

namespace mintknot::load {

double percentile(std::vector<double> values, double share) {
    if (values.empty())
        return 0.0;
    const auto last = static_cast<double>(values.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(
        std::lround(std::clamp(share, 0.0, 1.0) * last));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

} // namespace mintknot::load
