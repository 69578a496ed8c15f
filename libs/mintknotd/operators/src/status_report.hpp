/// @file
/// The picture of the system for operators.
#ifndef MINTKNOT_OPERATORS_SRC_STATUS_REPORT_HPP
#define MINTKNOT_OPERATORS_SRC_STATUS_REPORT_HPP

#include <mintknot/operators/operator_api.hpp>

#include <nlohmann/json.hpp>

namespace mintknot::operators {

/// @return instances, engines, schedulers and parts, as this instance sees
/// them.
nlohmann::json status_report(const operator_parts& parts);

} // namespace mintknot::operators

#endif
