#include <mintknot/losses/caller_report.hpp>

#include "caller_rows.hpp"

#include <fmt/format.h>

namespace mintknot::losses {

namespace {

using nlohmann::json;

double percent(std::int64_t part, std::int64_t all) {
    return all == 0
               ? 0.0
               : static_cast<double>(part) / static_cast<double>(all) * 100.0;
}

std::string row_text(const caller_row& row) {
    const caller_counts& counts = row.counts;
    const std::string label =
        row.heading.empty() ? row.name : row.heading + " " + row.name;
    return fmt::format(
        "  {:<32}{:>9}{:>10.2f}%{:>9}{:>9}{:>9}{:>9}{:>9}{:>10}{:>10}\n", label,
        counts.callers, percent(counts.in_target, counts.callers), counts.late,
        counts.late_by_gap, counts.refused_once, counts.refused_twice,
        counts.failed, counts.ever_refused, counts.ever_refused_twice);
}

json to_json(const caller_counts& counts) {
    return {
        {"callers", counts.callers},
        {"in_target", counts.in_target},
        {"late", counts.late},
        {"late_by_gap", counts.late_by_gap},
        {"refused_once", counts.refused_once},
        {"refused_twice", counts.refused_twice},
        {"failed", counts.failed},
        {"ever_refused", counts.ever_refused},
        {"ever_refused_twice", counts.ever_refused_twice}};
}

json group_json(const std::map<std::string, caller_counts>& group) {
    json rows = json::object();
    for (const auto& [name, counts] : group)
        rows[name] = to_json(counts);
    return rows;
}

} // namespace

std::string callers_text(const loss_ledger& ledger) {
    std::string text = fmt::format(
        "{:<34}{:>9}{:>11}{:>9}{:>9}{:>9}{:>9}{:>9}{:>10}{:>10}\n",
        "callers, first try to last", "callers", "in target", "late", "by gap",
        "refused", "twice", "failed", "refusals", "second");
    for (const caller_row& row : caller_rows(ledger))
        text += row_text(row);
    const caller_account& callers = ledger.callers;
    if (callers.returns_without_first_try > 0)
        text += fmt::format(
            "  {} tries of callers that were refused before are counted as "
            "callers, as their first try is not in the logs\n",
            callers.returns_without_first_try);
    if (callers.linked_early > 0)
        text += fmt::format(
            "  {} tries were counted before all logs had been read: some "
            "callers may be counted twice\n",
            callers.linked_early);
    return text;
}

json callers_json(const loss_ledger& ledger) {
    const caller_account& callers = ledger.callers;
    return {
        {"all", to_json(callers.all)},
        {"routes", group_json(callers.routes)},
        {"priorities", group_json(callers.priorities)},
        {"organisations", group_json(callers.organisations)},
        {"data_centres",
         group_json(callers_by_data_centre(callers, ledger.data_centres))},
        {"returns_without_first_try", callers.returns_without_first_try},
        {"linked_early", callers.linked_early}};
}

} // namespace mintknot::losses
