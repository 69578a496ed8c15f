#include <mintknot/routing/retry_budget.hpp>

#include <algorithm>

namespace mintknot::routing {

void earn(retry_budget& budget, double percent) noexcept {
    constexpr double whole = 100.0;
    budget.tokens =
        std::min(budget.tokens + percent / whole, most_retry_tokens);
}

bool spend(retry_budget& budget) noexcept {
    if (budget.tokens < 1.0)
        return false;
    budget.tokens -= 1.0;
    return true;
}

} // namespace mintknot::routing
