/// @file
/// Reads the fields of a log line. A field that is missing or of another type
/// reads as empty, 0 or false.
#ifndef MINTKNOT_LOSSES_SRC_LOG_LINE_HPP
#define MINTKNOT_LOSSES_SRC_LOG_LINE_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace mintknot::losses::log_line {

using json = nlohmann::json;

std::string text(const json& line, const char* field);
std::int64_t whole(const json& line, const char* field);
bool flag(const json& line, const char* field);

} // namespace mintknot::losses::log_line

#endif
