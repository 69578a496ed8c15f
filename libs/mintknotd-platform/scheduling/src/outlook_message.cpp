#include "outlook_message.hpp"

#include <mintknot/base/json_values.hpp>

#include <cmath>
#include <cstdint>

namespace mintknot::scheduling {

using nlohmann::json;

json outlook_to_json(const policy::engine_outlook& value) {
    const json age =
        value.report_age ? json(value.report_age->count()) : json(nullptr);
    return {std::llround(value.peak_tokens), value.peak_in.count(), age};
}

policy::engine_outlook outlook_from(const json& row) {
    policy::engine_outlook value;
    value.peak_tokens =
        static_cast<double>(base::number_from<std::int64_t>(row.at(0)));
    value.peak_in = base::time_from(row.at(1));
    if (!row.at(2).is_null())
        value.report_age = base::time_from(row.at(2));
    return value;
}

} // namespace mintknot::scheduling
