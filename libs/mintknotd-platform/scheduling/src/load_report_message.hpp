/// @file
/// The part of messages.cpp that reads and writes load reports.
#ifndef MINTKNOT_SCHEDULING_LOAD_REPORT_MESSAGE_HPP
#define MINTKNOT_SCHEDULING_LOAD_REPORT_MESSAGE_HPP

#include <mintknot/scheduling/messages.hpp>

#include <nlohmann/json.hpp>

namespace mintknot::scheduling {

/// Message type, the first element.
inline constexpr int load_report_format = 4;

nlohmann::json load_report_to_json(const load_report& value);

/// Throws nlohmann::json::exception for malformed fields.
load_report load_report_from(const nlohmann::json& row);

} // namespace mintknot::scheduling

#endif
