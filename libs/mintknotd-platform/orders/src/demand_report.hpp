/// @file
/// The datagram of demand_sharing.
#ifndef MINTKNOT_ORDERS_DEMAND_REPORT_HPP
#define MINTKNOT_ORDERS_DEMAND_REPORT_HPP

#include <mintknot/policy/phase_demand.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <unordered_map>

namespace mintknot::orders {

/// What one instance has seen, by service.
using demand_map = std::unordered_map<std::string, policy::phase_demand>;

/// @return the message in MessagePack, without the times that only the sender
/// itself needs. Instances that do not know it ignore it.
std::string encode(const demand_map& demands);

/// @return InvalidArgument if the datagram is none.
absl::StatusOr<demand_map> decode_demand(std::string_view datagram);

} // namespace mintknot::orders

#endif
