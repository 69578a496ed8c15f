/// @file
/// The rows that the table and the plot of callers have in common.
#ifndef MINTKNOT_LOSSES_SRC_CALLER_ROWS_HPP
#define MINTKNOT_LOSSES_SRC_CALLER_ROWS_HPP

#include <mintknot/losses/loss_ledger.hpp>

#include <string>
#include <vector>

namespace mintknot::losses {

struct caller_row {
    std::string heading; ///< "route", "priority" and so on; empty for all.
    std::string name;
    caller_counts counts;
};

/// @return all callers, then those of each route, priority, data centre and
/// organisation. Of organisations the 20 with the most callers without an
/// answer in target, as there may be thousands.
std::vector<caller_row> caller_rows(const loss_ledger& ledger);

} // namespace mintknot::losses

#endif
