/// @file
/// Runs arrivals open-loop and sums up what became of them.
#ifndef MINTKNOT_LOAD_LOAD_RUN_HPP
#define MINTKNOT_LOAD_LOAD_RUN_HPP

#include <mintknot/load/call_path.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace mintknot::load {

/// Sends every arrival at its time, on a thread of its own, and waits for all.
std::vector<call_record> run_arrivals(
    call_path& path, const mix& source, const std::vector<arrival>& arrivals);

/// @return goodput in each class and weighted, percentiles, refusals by code.
nlohmann::json summarise(
    const mix& source, const std::vector<call_record>& records,
    std::chrono::seconds duration);

/// @return the summary as a short table.
std::string summary_table(const nlohmann::json& summary);

} // namespace mintknot::load

#endif
