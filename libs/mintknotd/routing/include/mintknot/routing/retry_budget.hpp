/// @file
/// How many retries a class may make, so that retries never double the load.
#ifndef MINTKNOT_ROUTING_RETRY_BUDGET_HPP
#define MINTKNOT_ROUTING_RETRY_BUDGET_HPP

namespace mintknot::routing {

/// A token bucket that requests fill and retries empty.
struct retry_budget {
    double tokens = 3.0; ///< A quiet class may retry a few times at once.
};

/// Most tokens that a budget holds.
inline constexpr double most_retry_tokens = 20.0;

/// Adds the share of one request. @param percent retries for 100 requests.
void earn(retry_budget& budget, double percent) noexcept;

/// Takes one retry. @return false if the budget is empty.
bool spend(retry_budget& budget) noexcept;

} // namespace mintknot::routing

#endif
