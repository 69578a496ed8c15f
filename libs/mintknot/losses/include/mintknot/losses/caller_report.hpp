/// @file
/// What callers got from their first try to their last: as text, JSON and a
/// plot. The ledger must be closed.
#ifndef MINTKNOT_LOSSES_CALLER_REPORT_HPP
#define MINTKNOT_LOSSES_CALLER_REPORT_HPP

#include <mintknot/losses/loss_ledger.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace mintknot::losses {

/// @return a table for a terminal, with the organisations that have the most
/// callers without an answer in target.
std::string callers_text(const loss_ledger& ledger);
/// @return all counts, of all organisations.
nlohmann::json callers_json(const loss_ledger& ledger);
/// @return an SVG image: a bar for each row of the table, divided by what the
/// callers got.
std::string to_caller_plot(const loss_ledger& ledger);

} // namespace mintknot::losses

#endif
