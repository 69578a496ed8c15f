#include <mintknot/policy/capacity_claim.hpp>

#include <algorithm>

namespace mintknot::policy {

namespace {

constexpr int urgency_of_first_priority = 3;
constexpr int min_urgency = 1;
constexpr int max_urgency = 9;

} // namespace

int engine_urgency(int priority) noexcept {
    constexpr int max_priority = max_urgency - urgency_of_first_priority;
    constexpr int min_priority = min_urgency - urgency_of_first_priority;
    return urgency_of_first_priority +
           std::clamp(priority, min_priority, max_priority);
}

std::string_view to_string(capacity_denial value) noexcept {
    switch (value) {
    case capacity_denial::none:
        return "none";
    case capacity_denial::no_capacity:
        return "no_capacity";
    case capacity_denial::late:
        return "late";
    case capacity_denial::reserved_for_priority:
        return "reserved_for_priority";
    }
    return "unknown";
}

} // namespace mintknot::policy
