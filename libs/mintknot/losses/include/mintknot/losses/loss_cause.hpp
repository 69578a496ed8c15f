/// @file
/// Why requests were not answered in time.
#ifndef MINTKNOT_LOSSES_LOSS_CAUSE_HPP
#define MINTKNOT_LOSSES_LOSS_CAUSE_HPP

#include <string_view>

namespace mintknot::losses {

/// Why a request was not answered in time.
enum class loss_cause {
    none,                  ///< It was.
    no_room,               ///< No decode engine had memory left.
    no_server_reachable,   ///< No server, or none that could be reached.
    broken_by_server,      ///< Its server broke off or fell silent.
    servers_own_failure,   ///< Its server answered with a failure.
    lost_with_instance,    ///< The instance ended before the request did.
    retry_allowance_spent, ///< It needed a retry that was not allowed.
    deadline_passed,       ///< Its time was over before it was answered.
    caller_left,           ///< The caller closed its connection.
    refused_at_the_door,   ///< Stopping, without configuration, or too full.
    unknown_key,           ///< The caller showed no key that is known.
    old_knowledge,         ///< It could not be told whether its key was good.
    over_limit,            ///< Its organisation had used up its limit.
    late_by_waiting,       ///< Answered late; it waited for room for long.
    late_by_second_read,   ///< Answered late; its prompt was read again.
    late_at_server,        ///< Answered late; its server took long.
    other
};

std::string_view to_string(loss_cause value) noexcept;

/// @return true for causes of answers that came, but late.
bool is_late(loss_cause value) noexcept;

/// @return the cause for an outcome or a reason in a log line; none for
/// "answered", other for one that is not known.
loss_cause cause_of_outcome(std::string_view outcome) noexcept;

/// @return true for refusals that the caller's key or organisation explains.
bool concerns_organisation(loss_cause value) noexcept;

} // namespace mintknot::losses

#endif
