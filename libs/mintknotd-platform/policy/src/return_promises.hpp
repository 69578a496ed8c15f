/// @file
/// The promises of a return schedule: which stand, and which have lapsed.
#ifndef MINTKNOT_POLICY_RETURN_PROMISES_HPP
#define MINTKNOT_POLICY_RETURN_PROMISES_HPP

#include <mintknot/policy/return_schedule.hpp>

#include <cstdint>
#include <optional>

namespace mintknot::policy {

void add_promise(
    return_schedule& schedule, const return_schedule::promise& promise);

void remove_promise(return_schedule& schedule, std::uint64_t number);

/// @return the number of the earliest promise of a digest.
std::optional<std::uint64_t>
earliest_of(const return_schedule& schedule, std::uint64_t digest);

/// Moves promises for which capacity is kept from now on, and drops those that
/// have lapsed.
void advance_promises(return_schedule& schedule, base::steady_time now);

} // namespace mintknot::policy

#endif
