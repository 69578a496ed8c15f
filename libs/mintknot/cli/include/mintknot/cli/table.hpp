/// @file
/// Tables for the terminal.
#ifndef MINTKNOT_CLI_TABLE_HPP
#define MINTKNOT_CLI_TABLE_HPP

#include <string>
#include <vector>

namespace mintknot::cli {

/// Rows of texts; every row has as many cells as there are headings.
struct table {
    std::vector<std::string> headings;
    std::vector<std::vector<std::string>> rows;
};

/// @return the table with aligned columns, one line for each row.
std::string to_string(const table& value);

} // namespace mintknot::cli

#endif
