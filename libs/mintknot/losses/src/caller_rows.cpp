#include "caller_rows.hpp"

#include <algorithm>

namespace mintknot::losses {

namespace {

using group = std::map<std::string, caller_counts>;

constexpr std::size_t max_organisations = 20;

void append(
    std::vector<caller_row>& rows, const std::string& heading,
    const group& counts) {
    for (const auto& [name, one] : counts)
        rows.push_back({heading, name, one});
}

std::int64_t missed(const caller_row& row) {
    return row.counts.callers - row.counts.in_target;
}

std::vector<caller_row> worst_organisations(const group& organisations) {
    std::vector<caller_row> rows;
    append(rows, "organisation", organisations);
    std::stable_sort(
        rows.begin(), rows.end(),
        [](const caller_row& one, const caller_row& other) {
            return missed(one) > missed(other);
        });
    if (rows.size() > max_organisations)
        rows.resize(max_organisations);
    return rows;
}

} // namespace

std::vector<caller_row> caller_rows(const loss_ledger& ledger) {
    const caller_account& callers = ledger.callers;
    std::vector<caller_row> rows{{"", "all", callers.all}};
    append(rows, "route", callers.routes);
    append(rows, "priority", callers.priorities);
    append(
        rows, "data centre",
        callers_by_data_centre(callers, ledger.data_centres));
    for (caller_row& row : worst_organisations(callers.organisations))
        rows.push_back(std::move(row));
    return rows;
}

} // namespace mintknot::losses
