/// @file
/// What a closed account of losses says: as text, JSON and a plot.
#ifndef MINTKNOT_LOSSES_LOSS_REPORT_HPP
#define MINTKNOT_LOSSES_LOSS_REPORT_HPP

#include <mintknot/losses/loss_ledger.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace mintknot::losses {

/// Weights of requests, by cause.
using weight_by_cause = std::map<loss_cause, double>;

/// @return the weights of all requests.
weight_by_cause by_cause(const loss_ledger& ledger);
/// @return the weights for each route or data centre.
std::map<std::string, weight_by_cause> by_route(const loss_ledger& ledger);
std::map<std::string, weight_by_cause>
by_data_centre(const loss_ledger& ledger);
/// @return the weights for each window that has requests.
std::map<std::int64_t, weight_by_cause> by_window(const loss_ledger& ledger);

/// @return tables for a terminal.
std::string to_text(const loss_ledger& ledger);
nlohmann::json to_json(const loss_ledger& ledger);
/// @return an SVG image: weight lost over time, a colour for each cause.
std::string to_plot(const loss_ledger& ledger);

} // namespace mintknot::losses

#endif
