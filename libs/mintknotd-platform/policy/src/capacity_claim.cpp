#include <mintknot/policy/capacity_claim.hpp>

namespace mintknot::policy {

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
    case capacity_denial::over_share:
        return "over_share";
    case capacity_denial::reserved_for_returns:
        return "reserved_for_returns";
    }
    return "unknown";
}

} // namespace mintknot::policy
