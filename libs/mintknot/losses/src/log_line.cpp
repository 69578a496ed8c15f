#include "log_line.hpp"

namespace mintknot::losses::log_line {

std::string text(const json& line, const char* field) {
    const auto found = line.find(field);
    return found != line.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string{};
}

std::int64_t whole(const json& line, const char* field) {
    const auto found = line.find(field);
    return found != line.end() && found->is_number()
               ? found->get<std::int64_t>()
               : 0;
}

bool flag(const json& line, const char* field) {
    const auto found = line.find(field);
    return found != line.end() && found->is_boolean() && found->get<bool>();
}

} // namespace mintknot::losses::log_line
