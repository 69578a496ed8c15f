/// @file
/// Numbers of datagrams. A malformed one must not lead to a conversion that is
/// undefined, nor to a time that no clock can hold.
#ifndef MINTKNOT_SCHEDULING_MESSAGE_NUMBERS_HPP
#define MINTKNOT_SCHEDULING_MESSAGE_NUMBERS_HPP

#include <mintknot/base/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace mintknot::scheduling {

/// Least urgent priority that is told apart.
inline constexpr int max_priority = 9;

/// @return the nearest integer, within the range of costs; 0 if it is none.
std::int64_t whole(double value);

/// @throws nlohmann::json::exception unless it is an integer, as the functions
/// below do. Larger ones than fit are the largest.
std::int64_t integer_from(const nlohmann::json& value);
int int_from(const nlohmann::json& value);
std::uint64_t unsigned_from(const nlohmann::json& value);

/// @return a cost in tokens between 0 and 1e12.
double cost_from(const nlohmann::json& value);

/// @return a time in milliseconds between 0 and an hour, far above the
/// deadlines of callers.
base::milliseconds time_from(const nlohmann::json& value);

} // namespace mintknot::scheduling

#endif
