#include <mintknot/losses/loss_cause.hpp>

#include <array>
#include <utility>

namespace mintknot::losses {

namespace {

constexpr std::array<std::pair<std::string_view, loss_cause>, 18> outcomes{{
    {"no_capacity", loss_cause::no_room},
    {"no_backend_server", loss_cause::no_server_reachable},
    {"server_unreachable", loss_cause::no_server_reachable},
    {"decode_broke_off", loss_cause::broken_by_server},
    {"decode_silent", loss_cause::broken_by_server},
    {"decode_rejected", loss_cause::no_room},
    {"server_rejected", loss_cause::no_room},
    {"server_broke_off", loss_cause::broken_by_server},
    {"server_failure", loss_cause::servers_own_failure},
    {"decode_failed", loss_cause::servers_own_failure},
    {"bad_answer", loss_cause::servers_own_failure},
    {"retry_allowance_spent", loss_cause::retry_allowance_spent},
    {"deadline_passed", loss_cause::deadline_passed},
    {"caller_left", loss_cause::caller_left},
    {"answered", loss_cause::none},
    {"unknown_key", loss_cause::unknown_key},
    {"old_knowledge", loss_cause::old_knowledge},
    {"over_limit", loss_cause::over_limit},
}};

} // namespace

loss_cause cause_of_outcome(std::string_view outcome) noexcept {
    for (const auto& [name, cause] : outcomes)
        if (name == outcome)
            return cause;
    return loss_cause::other;
}

bool concerns_organisation(loss_cause value) noexcept {
    return value == loss_cause::unknown_key ||
           value == loss_cause::old_knowledge ||
           value == loss_cause::over_limit;
}

std::string_view to_string(loss_cause value) noexcept {
    switch (value) {
    case loss_cause::none:
        return "in_target";
    case loss_cause::no_room:
        return "no_room";
    case loss_cause::no_server_reachable:
        return "no_server_reachable";
    case loss_cause::broken_by_server:
        return "broken_by_server";
    case loss_cause::servers_own_failure:
        return "servers_own_failure";
    case loss_cause::lost_with_instance:
        return "lost_with_instance";
    case loss_cause::retry_allowance_spent:
        return "retry_allowance_spent";
    case loss_cause::deadline_passed:
        return "deadline_passed";
    case loss_cause::caller_left:
        return "caller_left";
    case loss_cause::refused_at_the_door:
        return "refused_at_the_door";
    case loss_cause::unknown_key:
        return "unknown_key";
    case loss_cause::old_knowledge:
        return "old_knowledge";
    case loss_cause::over_limit:
        return "over_limit";
    case loss_cause::late_by_waiting:
        return "late_by_waiting";
    case loss_cause::late_by_second_read:
        return "late_by_second_read";
    case loss_cause::late_at_server:
        return "late_at_server";
    case loss_cause::other:
        return "other";
    }
    return "other";
}

bool is_late(loss_cause value) noexcept {
    return value == loss_cause::late_by_waiting ||
           value == loss_cause::late_by_second_read ||
           value == loss_cause::late_at_server;
}

} // namespace mintknot::losses
