/// @file
/// What first tries ask for, as opposed to callers that return: the part of the
/// capacity that returns must leave (return_schedule.hpp).
#ifndef MINTKNOT_POLICY_FIRST_TRY_DEMAND_HPP
#define MINTKNOT_POLICY_FIRST_TRY_DEMAND_HPP

#include <mintknot/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace mintknot::policy {

/// What first tries have asked for, by second.
struct first_try_demand {
    static constexpr std::size_t seconds = 10;
    std::array<double, seconds> cost{}; ///< A ring, indexed by the second.
    std::int64_t begun = 0;             ///< First second on record; 0: none.
    std::int64_t last = 0;              ///< The second that is being filled.
};

/// Records that a first try asks for capacity.
void note_first_try(
    first_try_demand& demand, double cost, base::steady_time now);

/// @param cost of one request.
/// @return the expected cost of first tries per millisecond; infinite before
/// the first whole second.
double expected_first_tries(
    first_try_demand& demand, double cost, base::steady_time now);

} // namespace mintknot::policy

#endif
