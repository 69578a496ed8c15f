#include "load_report_message.hpp"

#include "message_numbers.hpp"

#include <mintknot/peers/message_parts.hpp>

namespace mintknot::scheduling {

namespace {

using nlohmann::json;

/// Index of the results in a load report that has any; older instances ignore
/// it.
constexpr std::size_t results_element = 4;
/// Index of the times of plain calls; sent only while capacity is shared.
constexpr std::size_t call_times_element = 5;

json to_json(const policy::observed_call_map& calls) {
    json rows = json::array();
    for (const auto& [id, observed] : calls)
        rows.push_back(
            {id, observed.calls, whole(observed.slot_ms),
             whole(observed.delay_ms)});
    return rows;
}

policy::observed_call_map call_times_from(const json& rows) {
    policy::observed_call_map calls;
    for (const json& row : peers::bounded(rows)) {
        const policy::observed_calls observed{
            base::number_from<int>(row.at(1)), number(row.at(2)),
            number(row.at(3))};
        if (observed.calls <= 0 || observed.slot_ms < 0.0 ||
            observed.delay_ms < 0.0)
            base::throw_malformed("no time of calls", row);
        calls[row.at(0).get<std::string>()] = observed;
    }
    return calls;
}

policy::result_counts counts_from(const json& entry) {
    const policy::result_counts counts{
        base::number_from<int>(entry.at(1)),
        base::number_from<int>(entry.at(2)),
        base::number_from<int>(entry.at(3))};
    if (counts.good < 0 || counts.bad < 0 || counts.rejected < 0)
        base::throw_malformed("negative count", entry);
    return counts;
}

} // namespace

json load_report_to_json(const load_report& value) {
    json rates = json::array();
    for (const observed_rate& rate : value.rates)
        rates.push_back({rate.id, whole(rate.rate * rate_unit)});
    json row = {
        load_report_format, peers::loads_to_json(value.loads),
        peers::warnings_to_json(value.avoided), rates};
    if (value.results.empty() && value.call_times.empty())
        return row;
    json results = json::array();
    for (const auto& [id, counts] : value.results)
        results.push_back({id, counts.good, counts.bad, counts.rejected});
    row.push_back(std::move(results));
    if (!value.call_times.empty())
        row.push_back(to_json(value.call_times));
    return row;
}

load_report load_report_from(const json& row) {
    load_report value;
    value.loads = peers::loads_from(row.at(1));
    value.avoided = peers::warnings_from(row.at(2));
    for (const json& entry : peers::bounded(row.at(3)))
        value.rates.push_back(
            {entry.at(0).get<std::string>(), number(entry.at(1)) / rate_unit});
    if (row.size() <= results_element)
        return value;
    for (const json& entry : peers::bounded(row[results_element]))
        value.results[entry.at(0).get<std::string>()] = counts_from(entry);
    if (row.size() > call_times_element)
        value.call_times = call_times_from(row[call_times_element]);
    return value;
}

} // namespace mintknot::scheduling
